#include "fault_tests/lease_scenarios.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>

#include "fault_tests/check.hpp"
#include "fault_tests/lease_scenario_list.hpp"
#include "fault_tests/scenario_report.hpp"

namespace tideline::fault_tests {
namespace {

const std::vector<std::pair<std::string, void (*)(PlannerClusterRun&)>> kScenarios = {
    {"holder-killed", holder_killed},     {"given-back", lease_released},
    {"stopped-between", stopped_between}, {"holder-cut-off", holder_cut_off},
    {"leader-lost", leader_lost},         {"rolling-restart", rolling_restart},
    {"no-majority", no_majority},         {"replaced", planner_replaced},
    {"bad-disks", failing_disks},         {"damaged-disks", damaged_disks},
    {"another-cluster", another_cluster}, {"clock-back", clock_set_back},
    {"taken-away", lease_revoked}};

const std::vector<std::pair<std::string, void (*)(Fleet&)>> kFleetScenarios = {
    {"roll-call", roll_call}, {"warming", warming}};

// Undoes all faults and checks that the lease has a holder again. An operator's only part is to
// admit a planner that lost its disk.
void settle(PlannerClusterRun& run) {
    PlannerCluster& cluster = run.cluster;
    run.apply("heal");
    const int nodes = cluster.options.planners + cluster.options.holders;
    for (int i = 1; i <= nodes; ++i) {
        const double node = i;
        run.apply("slow", {node, 0});
        std::filesystem::remove(fmt::format("{}/{}.mark", cluster.folder, cluster.name_of(i)));
        run.apply("go", {node});
        run.apply("start", {node});
    }
    const Seconds from = net::clock_now();
    bool healthy = cluster.run_until(kRecoveryTimeout, [&] { return cluster.is_healthy(); });
    for (int i = 1; i <= cluster.options.planners && !healthy; ++i) {
        run.apply("admit", {static_cast<double>(i)});
    }
    healthy = healthy || cluster.run_until(kRecoveryTimeout, [&] { return cluster.is_healthy(); });
    run.expect(healthy, "the planners are not healthy after all faults were undone");
    run.expect(run.wait_for_action(kRecoveryTimeout),
               "no holder acts after all faults were undone");
    run.add_figure("time until recovery, s", net::clock_now() - from);
}
bool run_fleet_scenario(const std::string& name, PlannerClusterOptions options,
                        void (*inject_faults)(Fleet&)) {
    const Seconds started = net::clock_now();
    options.keep_folder = true;
    Fleet fleet(options);
    try {
        fleet.planners.begin();
        fleet.sidecars.begin();
        fleet.sidecars.start_audits();
        const auto leases_held = [&] {
            return fleet.find_lease_holder("roll-call") > 0 &&
                   fleet.find_lease_holder("warming") > 0;
        };
        fleet.expect(fleet.wait_until(15, leases_held),
                     "the leases of the fleet's tasks have no holder");
        fleet.wait_until(15, [&] {
            return fleet.sidecars.newest_audit() &&
                   fleet.sidecars.all_current(*fleet.sidecars.newest_audit());
        });
        inject_faults(fleet);
        fleet.expect(fleet.wait_until(15, leases_held),
                     "the leases of the fleet's tasks have no holder at the end");
        for (std::size_t i = 1; i < fleet.sidecars.members.size(); ++i) {
            fleet.sidecars.members[i].clients->stop();
        }
        fleet.sidecars.run(1.8);
        for (auto& violation : violations_of(fleet.sidecars)) {
            fleet.violations.push_back(std::move(violation));
        }
        for (auto& violation : violations_of(fleet.planners)) {
            fleet.violations.push_back(std::move(violation));
        }
    } catch (const std::exception& error) {
        fleet.violations.push_back(error.what());
    }
    fleet.sidecars.end_processes();
    fleet.planners.end_processes();
    const ScenarioReport report{
        name,          net::clock_now() - started, "",
        fleet.figures, fleet.violations,           {fleet.sidecars.folder, fleet.planners.folder}};
    return print_report(report, report.violations.size());
}
template <class InjectFaults>
bool run_scenario(const std::string& name, PlannerClusterOptions options,
                  InjectFaults inject_faults) {
    const Seconds started = net::clock_now();
    options.keep_folder = true;
    PlannerClusterRun run(options);
    try {
        run.cluster.begin();
        inject_faults(run);
        settle(run);
        for (std::string& violation : violations_of(run.cluster)) {
            run.violations.push_back(std::move(violation));
        }
    } catch (const std::exception& error) {
        run.violations.push_back(error.what());
    }
    const auto late = std::count_if(run.cluster.actions.begin(), run.cluster.actions.end(),
                                    [](auto& action) { return !action.accepted; });
    run.cluster.end_processes();
    const ScenarioReport report{
        name,
        net::clock_now() - started,
        fmt::format("{} actions, {} rejected by their token", run.cluster.actions.size(), late),
        run.figures,
        run.violations,
        {run.cluster.folder}};
    return print_report(report, report.violations.size());
}

}  // namespace

std::vector<std::string> lease_scenario_names() {
    std::vector<std::string> names;
    for (const auto& [name, inject_faults] : kScenarios) {
        names.push_back(name);
    }
    for (const auto& [name, inject_faults] : kFleetScenarios) {
        names.push_back(name);
    }
    return names;
}

bool run_lease_scenarios(const PlannerClusterOptions& options, const std::string& scenario,
                         int& scenarios_run) {
    bool passed = true;
    for (const auto& [name, inject_faults] : kScenarios) {
        if (scenario == name || scenario == "all") {
            ++scenarios_run;
            passed &= run_scenario(name, options, inject_faults);
        }
    }
    for (const auto& [name, inject_faults] : kFleetScenarios) {
        if (scenario == name || scenario == "all") {
            ++scenarios_run;
            passed &= run_fleet_scenario(name, options, inject_faults);
        }
    }
    return passed;
}
bool run_lease_schedule(const PlannerClusterOptions& options, const std::string& name,
                        const std::vector<Event>& events) {
    return run_scenario(name, options, [&](PlannerClusterRun& run) {
        const Seconds start = net::clock_now();
        for (const Event& event : events) {
            run.cluster.run(std::max(0.0, start + event.at - net::clock_now()));
            run.cluster.apply(event);
        }
    });
}

}  // namespace tideline::fault_tests
