// `tideline replication --json`: converts the answer of a member to JSON. Scripts read the keys, so
// their names must not change. Does no I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "cli/replication_status.hpp"
#include "replication/types.hpp"

namespace tideline::cli {

nlohmann::ordered_json json_of(const ReplicationStatus& status);
// An empty `record` means that no attempt of the request is known.
nlohmann::ordered_json json_of(const std::optional<replication::Record>& record);
nlohmann::ordered_json json_of(const std::vector<audit::Record>& epochs);

}  // namespace tideline::cli
