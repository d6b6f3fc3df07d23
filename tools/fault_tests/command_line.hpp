// Parses the command line of the fault tests.
#pragma once

#include <string>

#include "fault_tests/planner_cluster.hpp"
#include "fault_tests/replication_scenarios.hpp"
#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

// The parsed arguments: whether to run scenarios, a schedule, random schedules or a measurement,
// and with which options.
struct CommandLine {
    SidecarClusterOptions sidecars;
    PlannerClusterOptions planners;
    ReplicationOptions replication;

    std::string scenario;  // the name of a scenario, or "all"; empty: none is run
    std::string schedule;  // path of a file with events; empty: none is run
    int seeds = 1;         // number of random schedules; the first has the seed sidecars.seed
    Seconds length = 15;   // duration of a random schedule
    bool list_scenarios = false;  // print the names of the fixed scenarios and exit
    bool show = false;            // print the random schedules instead of running them

    bool run_leases = false;       // --leases: test planners and lease holders
    bool run_replication = false;  // --copies: test sidecars with replication

    bool measure_cost = false;
    // The number of times that the holder is lost, for each kind of loss, to measure the time
    // without a holder; 0: not measured.
    int holder_losses = 0;
    Seconds grant_seconds = 0;   // duration of each row of the table; 0: not measured
    Seconds charge_seconds = 0;  // likewise
    bool measure_repair = false;
    int stored_records = 0;  // 0: not measured
};

// Parses the arguments. Returns false if the program has to exit at once with `exit_status`: after
// --help, or after an invalid argument, which is printed.
bool parse_command_line(int argc, char** argv, CommandLine& command_line, int& exit_status);

}  // namespace tideline::fault_tests
