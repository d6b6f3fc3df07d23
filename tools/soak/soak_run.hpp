// One soak: a sidecar process between the project's own fakes, through a schedule of signals,
// restarts and troubles.
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
// What was seen, and where the sidecar's log is, which is left.
struct SoakResult {
    SoakRecord record;
    std::string folder;
};
// Takes some seconds a step. Throws std::runtime_error where the fakes can't be set up.
SoakResult run_soak(const SoakOptions& options);

}  // namespace tideline::soak
