// The fault tests of replication: machines lost with their disks, clients that retry elsewhere.
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
    double rate = 20;                  // new requests a second, all sidecars together
    bool without_replication = false;  // to compare: what is lost without it
};
std::vector<std::string> replication_scenario_names();
// `scenario`: one of the fixed ones, or all. False where something did not hold; `scenarios_run`
// counts them.
bool run_replication_scenarios(const ReplicationOptions& options, const std::string& scenario,
                               int& scenarios_run);
// Faults and machine losses drawn from the seed, over `length` seconds; adds to both counts.
bool run_random_replication_faults(const ReplicationOptions& options, std::uint32_t seed,
                                   Seconds length, int& machines_lost, int& duplicate_effects);
// What a replicated charge costs beside one that is not, for 1, 2 and 3 replicas. `span`: s for
// each row.
void measure_replicated_requests(const ReplicationOptions& options, Seconds duration);
// How long repair takes by the number of records, and latencies meanwhile.
void measure_repair(const ReplicationOptions& options);
// Memory and disk that `count` stored records take, and how long it takes to store and read them.
void measure_stored_records(int count);

}  // namespace tideline::fault_tests
