// `tideline replication`: prints the answer of a member as text on standard output.
#pragma once

#include <optional>
#include <vector>

#include "cli/replication_status.hpp"
#include "replication/types.hpp"

namespace tideline::cli {

void print(const ReplicationStatus& status);
// An empty `record` means that no attempt of the request is known.
void print(const std::optional<replication::Record>& record);
void print(const std::vector<audit::Record>& epochs);

}  // namespace tideline::cli
