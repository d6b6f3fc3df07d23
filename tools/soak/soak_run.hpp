// Runs one soak: a sidecar process between fakes, with a schedule of signals, restarts and faults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/audit.hpp"
#include "soak/schedule.hpp"

namespace tideline::soak {

struct SoakOptions {
    std::string program = "build/tideline";
    std::uint32_t seed = 1;
    std::vector<Step> schedule;
};
// What was observed, and the folder with the sidecar's log, which the caller has to remove.
struct SoakResult {
    SoakRecord record;
    std::string folder;
};
// Takes some seconds per step. Throws std::runtime_error if the fakes can't be set up.
SoakResult run_soak(const SoakOptions& options);

}  // namespace tideline::soak
