// Model of the version audit: three honest members, one Byzantine member and an endpoint list with
// few revisions. Messages, transfers and exclusions arrive in any order or never.
#pragma once

#include "model_checker/search.hpp"

namespace tideline::model_checker {

// Searches from the state after each of several setups, until the first violation.
SearchResult search_version_audit(int depth, std::size_t max_states);

}  // namespace tideline::model_checker
