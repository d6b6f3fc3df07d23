// Simulates members that replicate for each other in seeded virtual time: fault runs with
// invariants that are checked after every step, and measurements. All figures are simulated.
#pragma once

#include <cstdint>
#include <vector>

namespace tideline::simulation {

// The options of the fault runs.
struct ReplicationSimulationOptions {
    std::uint32_t first = 1;  // the first seed
    int seeds = 200;
    int members = 7;
    int replicas = 2;      // of each shard
    int min_replicas = 0;  // replicas that store a record before it is acknowledged; 0: all
    int shards = 8;
    double requests_per_second = 31;  // of all members together
    bool replication = true;          // false: attempts need no granted claim
    bool verbose = false;             // prints the injected faults and the tables
};

// Executes one run per seed and prints each violation and a summary. Returns the exit status: 0 if
// all invariants hold, 1 otherwise.
int check_replication(const ReplicationSimulationOptions& options);
// Measures the cost of replication for a member by cluster size, without faults and after the loss
// of a member, and prints a table.
void measure_replication(int seeds, const std::vector<int>& sizes);
// Measures how evenly shards are placed and how many replicas move when a member joins or leaves,
// beside simpler methods, and prints a table.
void measure_placement();

}  // namespace tideline::simulation
