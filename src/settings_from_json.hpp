// Converts a JSON profile, the format that the sidecar and the simulator read, to settings. Only
// names, values and units are converted; PolicySettings validates them. Unknown keys are ignored.
#pragma once

#include <nlohmann/json.hpp>

#include "policy/types.hpp"

namespace tideline {

Settings settings_from_json(const nlohmann::json& profile);

}  // namespace tideline
