// Tests of the slow-start limits that are allocated to the members for a new endpoint.
#include "slow_start/slow_start_coordinator.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>

namespace tideline::test {

TEST_CASE("slow-start limits add up to at most the limit of the endpoint, in every window",
          "[slow_start]") {
    CHECK(rc::check([] {
        struct RecordingHost : slow_start::SlowStartCoordinatorHost {
            void allocate(const cluster::Name& member, const EndpointId&, double max_attempts,
                          Seconds valid) override {
                RC_ASSERT(max_attempts >= 0);
                // Without an allocation only the member's own limit applies, which is not counted.
                member_limits[member] = valid > 0 ? max_attempts : 0;
            }
            std::map<cluster::Name, double> member_limits;
        } host;
        slow_start::SlowStartSettings settings{1, 4, 0.4, 10, 0.25};
        slow_start::SlowStartCoordinator coordinator(host, settings);
        const EndpointId endpoint{"x"};
        coordinator.ready_endpoints(4);
        coordinator.endpoint_started(endpoint, 100);
        coordinator.lease_acquired(100);
        // A member may have sent at most the highest limit that it had within the window.
        std::map<cluster::Name, std::deque<std::pair<Seconds, double>>> allocations;
        std::deque<std::pair<Seconds, double>> bounds;
        const int members = *rc::gen::inRange(1, 8);
        for (Seconds now = 100; now < 109; now += settings.interval) {
            for (int i = 0; i < members; ++i) {
                coordinator.receive_recent_attempts(
                    now, cluster::Name{std::string(1, static_cast<char>('a' + i))},
                    *rc::gen::inRange(0, 40));
            }
            coordinator.tick(now);
            bounds.emplace_back(now, coordinator.endpoint_limit(now, endpoint));
            while (bounds.front().first < now - settings.window)
                bounds.pop_front();
            double sum = 0;
            double bound = 0;
            for (const auto& [at, max_attempts] : bounds) {
                bound = std::max(bound, max_attempts);
            }
            for (const auto& [member, max_attempts] : host.member_limits) {
                auto& all = allocations[member];
                all.emplace_back(now, max_attempts);
                while (all.front().first < now - settings.window + 1e-9)
                    all.pop_front();
                double highest = 0;
                for (const auto& [at, value] : all) {
                    highest = std::max(highest, value);
                }
                sum += highest;
            }
            RC_ASSERT(sum <= bound + 1e-9);
        }
    }));
}

}  // namespace tideline::test
