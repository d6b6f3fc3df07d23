// The command line of the fault tests.
#pragma once

#include <string>

#include "fault_tests/planner_cluster.hpp"
#include "fault_tests/replication_scenarios.hpp"
#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

// What is run: scenarios, a schedule, random schedules or a measurement, and with which options.
struct CommandLine {
    SidecarClusterOptions sidecars;
    PlannerClusterOptions planners;
    ReplicationOptions replication;

    std::string scenario;         // a name, or all; empty: none
    std::string schedule;         // path of a file of events; empty: none
    int seeds = 1;                // random schedules, from sidecars.seed on
    Seconds length = 15;          // of a random schedule
    bool list_scenarios = false;  // print the names of the fixed scenarios, run nothing
    bool show = false;            // print random schedules, run nothing

    bool run_leases = false;       // --leases: planners and lease holders
    bool run_replication = false;  // --copies: sidecars with replicas

    bool measure_cost = false;
    int holder_losses = 0;       // of each kind, for the time without a holder; 0: not measured
    Seconds grant_seconds = 0;   // a row; 0: not measured
    Seconds charge_seconds = 0;  // a row; 0: not measured
    bool measure_repair = false;
    int stored_records = 0;  // 0: not measured
};

// Reads the arguments. Returns false where the program is to end at once, with `exit_status`: after
// --help, or after a wrong argument, which is printed.
bool parse_command_line(int argc, char** argv, CommandLine& command_line, int& exit_status);

}  // namespace tideline::fault_tests
