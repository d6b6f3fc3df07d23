// Tests of how the endpoint list is requested again after its watch was lost, by one sidecar and by
// many.
#include <algorithm>
#include <map>
#include <memory>
#include <numeric>

#include "policy_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

// All sidecars share the discovery service. With two calls per loss it was once too busy to answer
// any.
TEST_CASE(
    "a lost watch is opened again by one call per loss, after a wait that grows to 1 s at most") {
    Settings settings = basic_settings();
    settings["list.told"] = std::string("asked");
    Sidecar sidecar(settings);
    CHECK(sidecar.host.watch_requests == 1);
    sidecar.policy.watch_lost(sidecar.now, sidecar.now, WatchLoss::ended);
    sidecar.run(0.5);
    CHECK(sidecar.host.watch_requests == 2);
    for (int losses = 2; losses < 12; ++losses) {
        sidecar.policy.watch_lost(sidecar.now, sidecar.now, WatchLoss::ended);
        sidecar.run(0.15);
        CHECK(sidecar.host.watch_requests == losses);  // the call is not made at once
        sidecar.run(1.2);
        CHECK(sidecar.host.watch_requests == losses + 1);
    }
}

namespace {
// Simulates a discovery service of fixed capacity that serves calls in order, including those that
// have timed out: if all sidecars called again soon, it would never answer one in time. Returns for
// how long each sidecar had no list, in seconds.
struct DiscoveryOverload {
    int sidecars = 0;
    Seconds call_duration = 0;  // the time that the service needs for one call
    // The sidecars had a watch and lost it; otherwise they have just started.
    bool had_watch = false;
};
std::vector<Seconds> times_without_list(const DiscoveryOverload& overload) {
    constexpr Seconds kCallTimeout = 2;
    constexpr Seconds kMaxQueueDelay = 5;
    constexpr Seconds kMaxDuration = 60;
    Settings settings = basic_settings();
    settings["list.told"] = std::string("asked");
    settings["sidecars"] = static_cast<double>(overload.sidecars);
    settings["list.told_within"] = 6.0;
    settings["rules.drain_grace"] = 1.0;
    std::vector<std::unique_ptr<Sidecar>> all;
    struct Call {
        std::size_t sidecar_index;
        Seconds at;
    };
    std::deque<Call> queue;
    std::vector<int> watch_requests;
    std::map<std::size_t, Seconds> answered;
    for (int i = 0; i < overload.sidecars; ++i) {
        all.push_back(std::make_unique<Sidecar>(settings, static_cast<std::uint64_t>(i)));
        Sidecar& sidecar = *all.back();
        watch_requests.push_back(overload.had_watch ? 1 : 0);
        if (!overload.had_watch) {
            continue;
        }
        sidecar.run(2);
        sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::complete,
                                         {endpoint("a", 1)});
        sidecar.policy.endpoint_list_confirmed(sidecar.now, sidecar.now);
        sidecar.policy.watch_lost(sidecar.now, sidecar.now, WatchLoss::ended);
    }
    const Seconds started_at = all[0]->now;
    Seconds free_at = started_at;
    while (answered.size() < all.size() && all[0]->now < started_at + kMaxDuration) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            Sidecar& sidecar = *all[i];
            sidecar.run(0.02);
            if (sidecar.host.watch_requests == watch_requests[i]) {
                continue;
            }
            watch_requests[i] = sidecar.host.watch_requests;
            if (overload.call_duration * static_cast<double>(queue.size()) > kMaxQueueDelay) {
                sidecar.policy.watch_lost(sidecar.now, sidecar.now,
                                          WatchLoss::ended);  // refused at once
            } else {
                queue.push_back({i, sidecar.now});
            }
        }
        const Seconds now = all[0]->now;
        for (; !queue.empty() && free_at <= now;
             queue.pop_front(), free_at += overload.call_duration) {
            const Call first = queue.front();
            Sidecar& sidecar = *all[first.sidecar_index];
            if (now - first.at > kCallTimeout) {
                sidecar.policy.watch_lost(sidecar.now, sidecar.now, WatchLoss::ended);
            } else if (answered.emplace(first.sidecar_index, now - started_at).second) {
                sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::complete,
                                                 {endpoint("a", 1)});
            }
        }
        if (queue.empty()) {
            free_at = now;
        }
    }
    std::vector<Seconds> times(all.size() - answered.size(), kMaxDuration);
    for (const auto& [sidecar_index, time] : answered) {
        times.push_back(time);
    }
    return times;
}
}  // namespace

TEST_CASE(
    "sidecars get the endpoint list back from a discovery that can't serve them all at once") {
    const auto [sidecars, call_duration] = GENERATE(std::pair(300, 0.04), std::pair(30, 0.29),
                                                    std::pair(30, 0.23), std::pair(900, 0.015));
    const bool had_watch = GENERATE(false, true);
    CAPTURE(sidecars, call_duration, had_watch);
    const std::vector<Seconds> times = times_without_list({sidecars, call_duration, had_watch});
    const Seconds sum = std::accumulate(times.begin(), times.end(), 0.0);
    // If each sidecar called exactly when it is its turn.
    const Seconds time_to_serve_all = sidecars * call_duration;
    CHECK(*std::max_element(times.begin(), times.end()) < 45);
    CHECK(sum / sidecars < 2 * time_to_serve_all);
}
