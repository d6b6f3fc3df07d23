// The fault tests of replication: machines are lost with their disks, and clients retry at other
// sidecars.
#pragma once

#include <string>
#include <vector>

#include "fault_tests/planner_cluster.hpp"

namespace tideline::fault_tests {

struct ReplicationOptions {
    PlannerClusterOptions planners;
    int members = 6;
    int replicas = 2;
    int min_replicas = 0;
    double rate = 20;  // new requests per second, over all sidecars
    // For comparison: counts the duplicate effects without replication.
    bool without_replication = false;
};
std::vector<std::string> replication_scenario_names();
// Runs the scenario of that name, or all of them for "all". Adds the number of scenarios run to
// `scenarios_run`. Returns false if a check failed.
bool run_replication_scenarios(const ReplicationOptions& options, const std::string& scenario,
                               int& scenarios_run);
// Injects random faults and machine losses from the seed over `length` seconds. Adds to both
// counts. Returns false if a check failed.
bool run_random_replication_faults(const ReplicationOptions& options, std::uint32_t seed,
                                   Seconds length, int& machines_lost, int& duplicate_effects);
// Measures what a charge costs without replication and with 1, 2 and 3 replicas. Each row takes
// `duration`.
void measure_replicated_requests(const ReplicationOptions& options, Seconds duration);
// Measures how long a repair takes for several numbers of records, and latencies meanwhile.
void measure_repair(const ReplicationOptions& options);
// Measures the memory and disk space of `count` stored records, and how long it takes to store and
// read them.
void measure_stored_records(int count);

}  // namespace tideline::fault_tests
