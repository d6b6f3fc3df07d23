// `tideline audit` and `tideline members`: query any member and print what it reports about the
// whole cluster.
#pragma once

#include <optional>
#include <string>

#include "policy/types.hpp"

namespace tideline::cli {

struct AuditCommand {
    std::string address;        // host:port of any member
    bool show_versions = true;  // also show the versions that each member acts on
    bool json = false;
    Seconds timeout = 10;
    // Shows the epochs that ended later: a Unix time, or if negative, seconds relative to now.
    std::optional<double> since;
    std::optional<int> build;  // show the epochs that acted on this build
};

// Prints the members and returns the exit status: 0 if all are current, 1 if members lag behind or
// have a broken history, 2 if some could not be queried. Throws std::runtime_error with a one-line
// message if the address is malformed.
int show_members(const AuditCommand& command);

}  // namespace tideline::cli
