// The demonstration, which leads sidecars through the rollout of a new build.
#pragma once

#include "demo/demo_options.hpp"

namespace tideline::demo {

// Starts all processes, runs the rollout and prints a table of the outcome. Returns the exit
// status. Throws std::runtime_error if a process does not start.
int run_demonstration(const Options& options);

}  // namespace tideline::demo
