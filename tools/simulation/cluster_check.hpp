// Seeded fault runs of a simulated cluster. Invariants are checked after every step.
#pragma once

#include <cstdint>

namespace tideline::simulation {

// Executes `seeds` runs, with the seeds from `first` on, and prints each violation and a summary.
// Returns the exit status: 0 if all invariants hold, 1 otherwise.
int check_cluster(std::uint32_t first, int seeds, int members);

}  // namespace tideline::simulation
