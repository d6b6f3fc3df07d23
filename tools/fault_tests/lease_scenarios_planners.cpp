// Lease scenarios: planners are lost, restarted or replaced, or belong to another cluster.

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>

#include "fault_tests/lease_scenario_list.hpp"

namespace tideline::fault_tests {

// The leader is killed, stopped or cut off. The holder keeps its lease, which lasts longer than an
// election.
void leader_lost(PlannerClusterRun& run) {
    for (const char* loss : {"kill", "stop", "cut"}) {
        const int leader = run.cluster.leader();
        const int holder = run.wait_for_holder();
        const std::size_t from = run.cluster.actions.size();
        if (*loss == 'c') {
            for (int i = 1; i <= run.cluster.options.planners + run.cluster.options.holders; ++i) {
                run.apply("cut", {static_cast<double>(leader), static_cast<double>(i)});
                run.apply("cut", {static_cast<double>(i), static_cast<double>(leader)});
            }
        } else {
            run.apply(loss, {static_cast<double>(leader)});
        }
        run.cluster.run(2.5);
        run.add_figure(fmt::format("{}: longest time without an act, s", loss),
                       run.longest_gap(from));
        run.expect(run.wait_for_holder() == holder,
                   fmt::format("leader lost by {}: the lease changed hands", loss));
        run.apply("heal");
        run.apply("go", {static_cast<double>(leader)});
        run.apply("start", {static_cast<double>(leader)});
        run.expect(
            run.cluster.run_until(kRecoveryTimeout, [&] { return run.cluster.is_healthy(); }),
            "the planners are not healthy");
    }
}
// All planners are restarted one after the other. Their state is durable, so the task goes on.
void rolling_restart(PlannerClusterRun& run) {
    for (int i = 1; i <= run.cluster.options.planners; ++i) {
        run.apply("term", {static_cast<double>(i)});
        const auto status = run.wait_for_exit(i);
        run.expect(status == 0, "a planner did not exit with status 0 after SIGTERM");
        run.cluster.run(0.3);
        run.apply("start", {static_cast<double>(i)});
        run.cluster.run(1);
    }
    run.expect(run.wait_for_action(kRecoveryTimeout),
               "no holder acts after the restart of all planners");
}
// A majority of the planners is killed. The holder's lease can't be renewed, so the holder stops
// when it expires; the task goes on once the majority is back.
void no_majority(PlannerClusterRun& run) {
    run.wait_for_holder();
    const int majority = run.cluster.options.planners / 2 + 1;
    const Seconds from = net::clock_now();
    for (int i = 1; i <= majority; ++i) {
        run.apply("kill", {static_cast<double>(i)});
    }
    run.cluster.run(3 * kLeaseDuration);
    const Seconds acted_for = run.newest_action()->arrived_at - from;
    run.add_figure("actions continued for, s", acted_for);
    run.expect(acted_for <= kLeaseDuration + 0.2, "the holder acts after its lease expired");
    for (int i = 1; i <= majority; ++i) {
        run.apply("start", {static_cast<double>(i)});
    }
    const Seconds restored_at = net::clock_now();
    run.expect(run.wait_for_action(kRecoveryTimeout), "no holder acts once the majority is back");
    run.add_figure("first action after the majority is back, s", net::clock_now() - restored_at);
}
// A planner that lost its disk has no vote until an operator admits it, since it may have forgotten
// votes and log entries.
void planner_replaced(PlannerClusterRun& run) {
    const int leader = run.cluster.leader();
    const int lost = leader == 2 ? 3 : 2;
    run.apply("kill", {static_cast<double>(lost)});
    run.apply("wipe", {static_cast<double>(lost)});
    run.apply("start", {static_cast<double>(lost)});
    run.cluster.run(2.5);
    run.expect(!run.cluster.is_healthy(),
               "a planner with an emptied disk votes before it was admitted");
    bool alarmed = false;
    for (int i = 1; i <= run.cluster.options.planners; ++i) {
        alarmed |= run.wait_for_log_text(i, fmt::format("p{} is here without a vote", lost), 0.1);
    }
    run.expect(alarmed, "no planner logs that a planner lost its disk");
    // A further planner is down while the replaced one is admitted.
    const int down = 5 == lost || 5 == run.cluster.leader() ? 4 : 5;
    run.apply("kill", {static_cast<double>(down)});
    run.apply("admit", {static_cast<double>(lost)});
    const Seconds from = net::clock_now();
    const bool votes = run.cluster.run_until(kRecoveryTimeout, [&] {
        const auto table = run.cluster.table(lost);
        return table &&
               std::any_of(table->planners().begin(), table->planners().end(), [&](auto& row) {
                   return row.seat().name() == run.cluster.name_of(lost) && row.state() == "votes";
               });
    });
    run.expect(votes, "a planner that was admitted does not vote");
    run.add_figure("time from admission to vote, s", net::clock_now() - from);
    run.apply("start", {static_cast<double>(down)});
}
// A planner with an empty disk must not found a second cluster, and a planner that founded a
// cluster of its own under a known name is not accepted into the first.
void another_cluster(PlannerClusterRun& run) {
    const int leader = run.cluster.leader();
    const int planner = leader == 3 ? 4 : 3;
    const double node = planner;
    run.apply("kill", {node});
    const std::string set_aside = run.cluster.folder_of(planner) + ".kept";
    std::filesystem::rename(run.cluster.folder_of(planner), set_aside);
    run.cluster.start(planner, true);
    run.expect(run.wait_for_exit(planner) == kExitFatal,
               "a planner founded a second cluster beside the first");
    run.expect(run.wait_for_log_text(planner, "start without --found to join it", 1),
               "the planner does not log why it refuses to found a cluster");
    // The planner founds a cluster while it is cut off from the others, and is then connected to
    // them.
    for (int i = 1; i <= run.cluster.options.planners; ++i) {
        run.apply("cut", {node, static_cast<double>(i)});
        run.apply("cut", {static_cast<double>(i), node});
    }
    std::filesystem::remove_all(run.cluster.folder_of(planner));
    run.cluster.start(planner, true);
    run.expect(run.wait_for_log_text(planner, "became leader"),
               "the planner that was cut off did not found a cluster of its own");
    run.apply("heal");
    bool alarmed = false;
    run.cluster.run_until(8, [&] {
        for (int i = 1; i <= run.cluster.options.planners && !alarmed; ++i) {
            alarmed = i != planner &&
                      run.cluster.log_of(i).find("is of another cluster") != std::string::npos;
        }
        return alarmed;
    });
    run.expect(alarmed, "no planner logs that a planner is of another cluster");
    run.expect(run.wait_for_action(kRecoveryTimeout),
               "no holder acts while a planner of another cluster is connected");
    run.apply("kill", {node});
    std::filesystem::remove_all(run.cluster.folder_of(planner));
    std::filesystem::rename(set_aside, run.cluster.folder_of(planner));
    run.apply("start", {node});
}

}  // namespace tideline::fault_tests
