// Lease scenarios: the holder is killed, stopped or cut off, or its lease is released or revoked.

#include <fmt/format.h>

#include <algorithm>

#include "fault_tests/lease_scenario_list.hpp"
#include "lease/types.hpp"

namespace tideline::fault_tests {

// The holder is killed. Its lease lasts until it expires at the leader; then the next holder acts.
void holder_killed(PlannerClusterRun& run) {
    const int holder = run.wait_for_holder();
    run.apply("kill", {static_cast<double>(holder)});
    const std::string name = run.cluster.name_of(holder);
    const Seconds gap = run.wait_for_another_holder(name, run.newest_action()->arrived_at);
    run.add_figure("until the next holder acts, s", gap);
    run.expect(gap >= kLeaseDuration / 2, "the next holder acts before the lease expired");
    run.expect(gap <= kGrantorWaitDuration + kLeaseDuration, "the next holder acts too late");
    run.apply("start", {static_cast<double>(holder)});
}
// The holder releases its lease, which the next holder gets at once instead of after the lease's
// duration.
void lease_released(PlannerClusterRun& run) {
    const int holder = run.wait_for_holder();
    run.apply("release-task", {static_cast<double>(holder)});
    const Seconds gap = run.wait_for_another_holder(run.cluster.name_of(holder), net::clock_now());
    run.add_figure("until the next holder acts, s", gap);
    run.expect(gap < kLeaseDuration / 2,
               "the next holder gets a released lease no sooner than an expired one");
}
// A holder is stopped between the guard's check and the action until another process holds the
// lease. The target rejects the late action by its fencing token.
void stopped_between(PlannerClusterRun& run) {
    for (int round = 0; round < 3; ++round) {
        const int holder = run.wait_for_holder();
        const std::string name = run.cluster.name_of(holder);
        run.apply("mark", {static_cast<double>(holder)});
        run.wait_for_another_holder(name, net::clock_now());
        const auto rejected_before =
            std::count_if(run.cluster.actions.begin(), run.cluster.actions.end(),
                          [](auto& action) { return !action.accepted; });
        run.apply("go", {static_cast<double>(holder)});
        const bool rejected = run.cluster.run_until(5, [&] {
            return std::count_if(run.cluster.actions.begin(), run.cluster.actions.end(),
                                 [](auto& action) { return !action.accepted; }) > rejected_before;
        });
        run.expect(rejected, "the late action did not arrive or was not rejected");
    }
}
// A holder that is cut off from all planners acts until its lease expires, and not afterwards.
void holder_cut_off(PlannerClusterRun& run) {
    const int holder = run.wait_for_holder();
    for (int i = 1; i <= run.cluster.options.planners; ++i) {
        run.apply("cut", {static_cast<double>(holder), static_cast<double>(i)});
        run.apply("cut", {static_cast<double>(i), static_cast<double>(holder)});
    }
    run.add_figure("until the next holder acts, s",
                   run.wait_for_another_holder(run.cluster.name_of(holder), net::clock_now()));
    run.apply("heal");
}
// An operator revokes the lease. The holder stops, the next one acts, and the lease table records
// the former holder and that its lease was revoked.
void lease_revoked(PlannerClusterRun& run) {
    const int holder = run.wait_for_holder();
    const std::string name = run.cluster.name_of(holder);
    const std::uint64_t token = run.newest_action()->fencing_token;
    run.apply("take-away", {});
    run.add_figure("until the next holder acts, s",
                   run.wait_for_another_holder(name, net::clock_now()));
    const auto table = run.cluster.table(run.cluster.leader());
    bool recorded = false;
    if (table) {
        for (const auto& each : table->leases()) {
            for (const auto& past : each.past()) {
                recorded |= past.fence() == token && past.holder().name() == name &&
                            past.end() == static_cast<std::uint32_t>(lease::HoldingEnd::revoked);
            }
        }
    }
    run.expect(recorded,
               "the lease table does not record the former holder and that its lease was revoked");
}

}  // namespace tideline::fault_tests
