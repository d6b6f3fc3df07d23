// `tideline lease` and `tideline planners`: the requests of operators to the planners.
#pragma once

#include <string>

#include "policy/types.hpp"

namespace tideline::cli {

struct LeaseCommand {
    enum class Action { list_leases, revoke_lease, list_planners, admit_planner, remove_planner };
    Action action = Action::list_leases;
    std::string address;  // host:port of any planner
    std::string name;     // name of the lease to revoke, or of the planner to admit or remove
    bool json = false;
    Seconds timeout = 5;
};

// Sends the request and prints the answer. Returns the exit status: 0 if it was done, 1 if it was
// refused, 2 if the planner could not be queried or its answer may be stale. Throws
// std::runtime_error with a one-line message if the address is malformed.
int run_lease_command(const LeaseCommand& command);

}  // namespace tideline::cli
