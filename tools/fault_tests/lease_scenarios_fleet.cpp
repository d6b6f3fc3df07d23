// Lease scenarios: a fleet of sidecars with planners, where the holder of a task's lease does the
// task for the whole fleet.

#include <fmt/format.h>

#include <algorithm>

#include "fault_tests/lease_scenario_list.hpp"

namespace tideline::fault_tests {

// A member is killed, then the holder of the roll-call lease. Each alarm is raised once and cleared
// once for the whole fleet.
void roll_call(Fleet& fleet) {
    const int roll_call_holder = fleet.find_lease_holder("roll-call");
    const int lost_member = roll_call_holder == 2 ? 3 : 2;
    fleet.sidecars.apply({0, "kill", {static_cast<double>(lost_member)}});
    const std::string gone = fmt::format("ALARM fleet audit: n{} is gone", lost_member);
    fleet.expect(fleet.wait_until(15, [&] { return fleet.count_in_logs(gone) > 0; }),
                 "no alarm for a lost member");
    fleet.sidecars.apply({0, "kill", {static_cast<double>(roll_call_holder)}});
    const std::string caller_gone = fmt::format("ALARM fleet audit: n{} is gone", roll_call_holder);
    const Seconds from = net::clock_now();
    fleet.expect(fleet.wait_until(15, [&] { return fleet.count_in_logs(caller_gone) > 0; }),
                 "no alarm for the lost holder of the roll-call lease");
    fleet.figures.emplace_back("alarm for the lost roll-call holder, s", net::clock_now() - from);
    fleet.sidecars.run(2);
    fleet.expect(fleet.count_in_logs(gone) == 1 && fleet.count_in_logs(caller_gone) == 1,
                 fmt::format("the alarms were raised {} and {} times instead of once",
                             fleet.count_in_logs(gone), fleet.count_in_logs(caller_gone)));
    fleet.sidecars.apply({0, "start", {static_cast<double>(lost_member)}});
    fleet.sidecars.apply({0, "start", {static_cast<double>(roll_call_holder)}});
    const std::string cleared =
        fmt::format("fleet audit alarm cleared: key=\"gone n{}\"", lost_member);
    fleet.expect(fleet.wait_until(15, [&] { return fleet.count_in_logs(cleared) > 0; }),
                 "the alarm is not cleared");
    fleet.sidecars.run(1);
    fleet.expect(fleet.count_in_logs(cleared) == 1, "the alarm was not cleared exactly once");
    bool raised = false;
    fleet.wait_until(10, [&] {
        const auto table = fleet.planners.table(1);
        raised = table && table->raised_size() > 0;
        return table && !raised;
    });
    fleet.expect(!raised, "the planners still have a raised alarm");
}
// New endpoints start while the holder of the warming lease is killed, and then all planners.
// Without limits allocated by a holder each sidecar limits itself, and no new endpoint gets more
// requests than its slow start allows.
void warming(Fleet& fleet) {
    const std::size_t before = fleet.sidecars.endpoints.size();
    std::vector<Seconds> started_at;
    for (int i = 0; i < 3; ++i) {
        started_at.push_back(net::clock_now());
        fleet.sidecars.apply({0, "pod", {}});
        fleet.sidecars.run(1.2);
        if (i == 0) {
            fleet.sidecars.apply(
                {0, "kill", {static_cast<double>(fleet.find_lease_holder("warming"))}});
        }
        if (i == 1) {
            for (int p = 1; p <= 3; ++p) {
                fleet.planners.apply({0, "kill", {static_cast<double>(p)}});
            }
        }
    }
    fleet.sidecars.run(3);
    fleet.expect(fleet.count_in_logs("slow-start limits allocated") >= 2,
                 "slow-start limits were not allocated by two holders");
    // For each window of 1 s: the requests that reached a new endpoint, relative to an even share
    // of all requests times the endpoint's present capacity. The limit is 4.
    double worst = 0;
    const auto count_received = [&](const fakes::FakeEndpoint& endpoint, Seconds from, Seconds to) {
        return static_cast<double>(
            std::count_if(endpoint.received.begin(), endpoint.received.end(),
                          [&](auto& each) { return each.at >= from && each.at < to; }));
    };
    for (std::size_t i = before; i < fleet.sidecars.endpoints.size(); ++i) {
        for (Seconds at = started_at[i - before]; at < started_at[i - before] + 3; at += 0.1) {
            double all = 0;
            for (const auto& endpoint : fleet.sidecars.endpoints) {
                all += count_received(*endpoint, at, at + 1);
            }
            const double even_share = all / static_cast<double>(fleet.sidecars.endpoints.size());
            const double capacity = 0.4 + 0.6 * std::min(1.0, (at - started_at[i - before]) / 3);
            if (even_share > 0) {
                worst = std::max(worst, count_received(*fleet.sidecars.endpoints[i], at, at + 1) /
                                            (even_share * capacity));
            }
        }
    }
    fleet.figures.emplace_back(
        "highest share of requests to a new endpoint, relative to its capacity", worst);
    fleet.expect(worst < 4, "a new endpoint got more requests than its slow start allows");
    for (int p = 1; p <= 3; ++p) {
        fleet.planners.apply({0, "start", {static_cast<double>(p)}});
    }
    for (int i = 1; i <= fleet.sidecars.options.members; ++i) {
        fleet.sidecars.apply({0, "start", {static_cast<double>(i)}});
    }
}

}  // namespace tideline::fault_tests
