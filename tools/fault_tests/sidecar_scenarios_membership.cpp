// Sidecar scenarios: members that lag, are killed, cut off, slow or stopped.

#include <fmt/format.h>

#include "fault_tests/sidecar_scenario_list.hpp"

namespace tideline::fault_tests {

namespace {

void offer(SidecarScenarioRun& run) {
    run.cluster.apply({0, "offer", {kTrialBuild}});
    run.cluster.run(0.5);
    run.cluster.apply({0, "stage", {1}});
    run.cluster.run(0.5);
}

}  // namespace

// A member's discovery and release platform send it nothing while both change. Its peers transfer
// the state that it lacks.
void lagging_member_updated(SidecarScenarioRun& run) {
    offer(run);
    run.cluster.apply({0, "mute", {5}});
    run.cluster.apply({0, "pod", {}});
    run.cluster.apply({0, "back", {}});
    run.wait_until(
        "peers transferred the state that the lagging member lacked", 10, [&](const Audit& audit) {
            return audit.queried_member != 5 &&
                   SidecarScenarioRun::state_of(audit, 5) == "current" &&
                   run.cluster.log_of(5).find("state transfer adopted: part=release_status") !=
                       std::string::npos &&
                   run.cluster.log_of(5).find("state transfer adopted: part=endpoint_list") !=
                       std::string::npos;
        });
    run.cluster.apply({0, "speak", {5}});
}

// A member sends but receives nothing, so no peer can transfer state to it or query it. It
// restricts its own participation in the trial.
void receives_nothing(SidecarScenarioRun& run) {
    offer(run);
    run.cluster.apply({0, "mute", {4}});
    for (int other = 1; other <= run.cluster.options.members; ++other) {
        if (other != 4) {
            run.cluster.apply({0, "cut", {static_cast<double>(other), 4}});
        }
    }
    run.cluster.apply({0, "back", {}});
    run.wait_until("the member restricts its trial participation by itself", 10, [&](const Audit&) {
        const auto participation = trial_participation_of(run.cluster, 4);
        return !participation.empty() && participation.back().value != "open";
    });
    run.wait_until("the member is declared gone", 10, [&](const Audit& audit) {
        return audit.queried_member != 4 && SidecarScenarioRun::state_of(audit, 4) == "gone";
    });
    run.cluster.run(1);
    run.cluster.apply({0, "heal", {}});
    run.cluster.apply({0, "speak", {4}});
}

// A member lags, and the state that it lacks is longer than the frames that it accepts. It is
// excluded, sends no requests to the trial build, and is readmitted once its own discovery sends
// changes again.
void lagging_member_excluded(SidecarScenarioRun& run) {
    offer(run);
    run.cluster.apply({0, "mute", {4}});
    const Seconds from = net::clock_now();
    run.cluster.apply({0, "pod", {}});
    const auto state_is = [](const char* state) {
        return [state](const Audit& audit) {
            return audit.queried_member != 4 && SidecarScenarioRun::state_of(audit, 4) == state;
        };
    };
    run.wait_until("the lagging member is shown as a straggler", 10, state_is("straggler"));
    run.wait_until("the lagging member is shown as shut out", 10, state_is("shut out"));
    run.add_figure("time from lagging to shut out, s", net::clock_now() - from);
    run.wait_until("the member knows that it is shut out", 5, [&](const Audit& audit) {
        return audit.queried_member == 4 && SidecarScenarioRun::state_of(audit, 4) == "shut out";
    });
    run.expect(trial_participation_of(run.cluster, 4).back().value == "no trial",
               "a member that is shut out still takes part in the trial");
    run.cluster.run(2);
    run.cluster.apply({0, "speak", {4}});
    run.wait_until("the member is current again", 15, state_is("current"));
}

// The discovery of one member sends revisions that the endpoint list never had. No other member may
// be declared lagging because of that.
void false_revisions(SidecarScenarioRun& run) {
    run.cluster.apply({0, "lie", {7}});
    for (int i = 0; i < 8; ++i) {
        run.cluster.apply({0, "pod", {}});
        run.cluster.run(0.7);
    }
    for (const Audit& audit : run.cluster.audits) {
        for (const auto& [member, row] : audit.rows) {
            if (row.state == "straggler" || row.state == "shut out") {
                run.expect(false,
                           fmt::format("n{} is shown as {} because one member has false revisions",
                                       member, row.state));
            }
        }
    }
}

// The cluster is partitioned into two halves, and recovers without an operator once the links heal.
void partition(SidecarScenarioRun& run) {
    const int half = run.cluster.options.members / 2;
    run.cluster.apply({0, "split", {static_cast<double>(half)}});
    run.wait_until("each half shows the other as gone", 20, [&](const Audit& audit) {
        int gone = 0;
        for (const auto& [member, row] : audit.rows) {
            gone += row.state == "gone";
        }
        return audit.complete &&
               gone ==
                   run.cluster.options.members -
                       (audit.queried_member <= half ? half : run.cluster.options.members - half);
    });
    run.cluster.apply({0, "pod", {}});
    run.cluster.run(1);
    run.cluster.apply({0, "heal", {}});
}

// A member is killed and restarted, first with its disk and then without.
void member_restarted(SidecarScenarioRun& run) {
    const auto incarnation = [&](int member) {
        const Audit* audit = run.cluster.newest_audit();
        return audit && audit->rows.contains(member) ? audit->rows.at(member).incarnation : 0;
    };
    for (const bool wiped : {false, true}) {
        const auto before = incarnation(3);
        run.cluster.apply({0, "kill", {3}});
        run.wait_until("the killed member is shown as gone", 15, [&](const Audit& audit) {
            return SidecarScenarioRun::state_of(audit, 3) == "gone";
        });
        if (wiped) {
            run.cluster.apply({0, "wipe", {3}});
        }
        run.cluster.apply({0, "start", {3}});
        run.wait_until("the restarted member is shown as current", 15, [&](const Audit& audit) {
            return audit.queried_member != 3 &&
                   SidecarScenarioRun::state_of(audit, 3) == "current" &&
                   audit.rows.at(3).incarnation > before;
        });
    }
}

// The links of one member have a delay of 3 s in each direction. No other member may be declared
// gone.
void slow(SidecarScenarioRun& run) {
    run.cluster.apply({0, "slow", {6, 3}});
    const Seconds from = net::clock_now();
    run.cluster.run(8);
    for (const Audit& audit : run.cluster.audits) {
        for (const auto& [member, row] : audit.rows) {
            if (audit.from > from && audit.queried_member != 6 && member != 6 &&
                row.state == "gone") {
                run.expect(false, fmt::format("n{} shows n{} as gone while only n6 is slow",
                                              audit.queried_member, member));
            }
        }
    }
    run.cluster.apply({0, "slow", {6, 0}});
}

// A member is stopped until it is declared gone, and then resumed. It must not declare the others
// gone.
void member_stopped(SidecarScenarioRun& run) {
    run.cluster.apply({0, "stop", {2}});
    run.wait_until("the stopped member is shown as gone", 15, [&](const Audit& audit) {
        return SidecarScenarioRun::state_of(audit, 2) == "gone";
    });
    const Seconds from = net::clock_now();
    run.cluster.apply({0, "go", {2}});
    run.cluster.run(3);
    for (const Audit& audit : run.cluster.audits) {
        for (const auto& [member, row] : audit.rows) {
            if (audit.from > from && audit.queried_member == 2 && row.state == "gone") {
                run.expect(false, fmt::format("n2 shows n{} as gone after it was resumed", member));
            }
        }
    }
}

}  // namespace tideline::fault_tests
