// The fault tests: run real processes as a cluster on loopback addresses, inject faults, and check
// the complete record of requests, answers and logs afterwards.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "fault_tests/command_line.hpp"
#include "fault_tests/lease_scenarios.hpp"
#include "fault_tests/replication_scenarios.hpp"
#include "fault_tests/sidecar_scenarios.hpp"

namespace {

using namespace tideline;
using namespace tideline::fault_tests;

constexpr int kExitPassed = 0;
constexpr int kExitViolations = 1;
constexpr int kExitNotRun = 2;

// The number of scenarios that were run, and whether all their checks passed.
struct Summary {
    bool passed = true;
    int scenarios_run = 0;
};

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

void print_events(const std::vector<Event>& events) {
    for (const Event& event : events) {
        fmt::print("{}\n", text_of(event));
    }
}

std::vector<std::string> scenario_names(const CommandLine& command_line) {
    if (command_line.run_replication) {
        return replication_scenario_names();
    }
    return command_line.run_leases ? lease_scenario_names() : sidecar_scenario_names();
}

// Runs the measurement that the command line asks for; returns false if it asks for none.
bool run_measurement(const CommandLine& command_line) {
    if (command_line.holder_losses > 0) {
        measure_holder_gaps(command_line.planners, command_line.holder_losses);
    } else if (command_line.grant_seconds > 0) {
        measure_grants(command_line.planners, command_line.grant_seconds);
    } else if (command_line.measure_cost && command_line.run_leases) {
        measure_lease_cost(command_line.planners);
    } else if (command_line.charge_seconds > 0) {
        measure_replicated_requests(command_line.replication, command_line.charge_seconds);
    } else if (command_line.measure_repair) {
        measure_repair(command_line.replication);
    } else if (command_line.stored_records > 0) {
        measure_stored_records(command_line.stored_records);
    } else if (command_line.measure_cost && !command_line.run_replication) {
        measure_sidecar_cost(command_line.sidecars);
    } else {
        return false;
    }
    return true;
}

void run_replication(const CommandLine& command_line, Summary& summary) {
    if (!command_line.scenario.empty()) {
        summary.passed &= run_replication_scenarios(command_line.replication, command_line.scenario,
                                                    summary.scenarios_run);
        return;
    }
    int machines_lost = 0;
    int duplicate_effects = 0;
    for (int i = 0; i < command_line.seeds; ++i, ++summary.scenarios_run) {
        summary.passed &= run_random_replication_faults(
            command_line.replication, command_line.sidecars.seed + static_cast<std::uint32_t>(i),
            command_line.length, machines_lost, duplicate_effects);
    }
    if (command_line.seeds > 0) {
        fmt::print("copies{}: {} machines lost with their disks, {} duplicate effects\n",
                   command_line.replication.without_replication ? " off" : "", machines_lost,
                   duplicate_effects);
    }
}

void run_leases(const CommandLine& command_line, Summary& summary) {
    PlannerClusterOptions options = command_line.planners;
    if (!command_line.schedule.empty()) {
        const auto events =
            read_schedule(read_file(command_line.schedule), options.planners + options.holders);
        summary.passed &= run_lease_schedule(options, command_line.schedule, events);
        ++summary.scenarios_run;
    }
    if (!command_line.scenario.empty()) {
        summary.passed &=
            run_lease_scenarios(options, command_line.scenario, summary.scenarios_run);
    }
    if (!command_line.schedule.empty() || !command_line.scenario.empty()) {
        return;
    }
    options.seed = command_line.sidecars.seed;
    for (int i = 0; i < command_line.seeds; ++i, ++options.seed, ++summary.scenarios_run) {
        const auto events = random_planner_schedule(options.seed, options.planners, options.holders,
                                                    command_line.length);
        if (command_line.show) {
            print_events(events);
            continue;
        }
        summary.passed &=
            run_lease_schedule(options, fmt::format("leases, seed {}", options.seed), events);
    }
}

void run_sidecars(const CommandLine& command_line, Summary& summary) {
    SidecarClusterOptions options = command_line.sidecars;
    if (!command_line.schedule.empty()) {
        const auto events = read_schedule(read_file(command_line.schedule), options.members);
        summary.passed &= run_sidecar_schedule(options, command_line.schedule, events);
        ++summary.scenarios_run;
    }
    if (!command_line.scenario.empty()) {
        summary.passed &=
            run_sidecar_scenarios(options, command_line.scenario, summary.scenarios_run);
    }
    if (!command_line.schedule.empty() || !command_line.scenario.empty()) {
        return;
    }
    for (int i = 0; i < command_line.seeds; ++i, ++options.seed, ++summary.scenarios_run) {
        const auto events =
            random_sidecar_schedule(options.seed, options.members, command_line.length);
        if (command_line.show) {
            print_events(events);
            continue;
        }
        summary.passed &=
            run_sidecar_schedule(options, fmt::format("seed {}", options.seed), events);
    }
}

int run(const CommandLine& command_line) {
    if (command_line.list_scenarios) {
        fmt::print("{}\n", fmt::join(scenario_names(command_line), "\n"));
        return kExitPassed;
    }
    if (run_measurement(command_line)) {
        return kExitPassed;
    }
    Summary summary;
    if (command_line.run_replication) {
        run_replication(command_line, summary);
    } else if (command_line.run_leases) {
        run_leases(command_line, summary);
    } else {
        run_sidecars(command_line, summary);
    }
    if (summary.scenarios_run == 0) {
        fmt::print(stderr, "tideline_fault_tests: no scenario {}\n", command_line.scenario);
        return kExitNotRun;
    }
    return summary.passed ? kExitPassed : kExitViolations;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CommandLine command_line;
    int exit_status = kExitPassed;
    if (!parse_command_line(argc, argv, command_line, exit_status)) {
        return exit_status;
    }
    try {
        return run(command_line);
    } catch (const std::exception& error) {
        fmt::print(stderr, "tideline_fault_tests: {}\n", error.what());
        return kExitNotRun;
    }
}
