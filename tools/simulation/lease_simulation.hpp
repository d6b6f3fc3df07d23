// Simulates planners and members in seeded virtual time: fault runs with invariants that are
// checked after every step, and measurements of how long a lease has no holder. All figures are
// simulated.
#pragma once

#include <cstdint>
#include <vector>

namespace tideline::simulation {

// Executes `seeds` runs, with the seeds from `first` on, and prints each violation and a summary.
// Returns the exit status: 0 if all invariants hold, 1 otherwise. `verbose` also prints the
// injected faults.
int check_leases(std::uint32_t first, int seeds, int planners, int members, bool verbose);
// Measures how long the lease has no holder, for each number of waiting members, and prints a
// table.
void measure_leases(int seeds, const std::vector<int>& waiting);

}  // namespace tideline::simulation
