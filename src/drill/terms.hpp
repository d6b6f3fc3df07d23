// Turns the settings of the bench's wire into the module's terms: names and units only.
#pragma once

#include <nlohmann/json.hpp>

#include "words.hpp"

namespace tideline::drill {

Terms terms_of(const nlohmann::json& profile);

}  // namespace tideline::drill
