// `tideline replication` (also `tideline holdings`): which members hold which replicas, how many
// are missing, and how far their repair has progressed.
#pragma once

#include <string>

#include "policy/types.hpp"

namespace tideline::cli {

struct ReplicationCommand {
    std::string address;         // host:port of any member
    std::string key;             // OPERATION,CUSTOMER,FINGERPRINT of a request: show its record
    std::string epochs_of;       // a member: show its audit epochs as other members store them
    std::string removed_member;  // a member that will not come back: its replicas count as lost
    bool json = false;
    Seconds timeout = 5;
};

// Returns the exit status: 0 if all shards are complete, 1 if replicas are missing or data was
// lost, 2 if shards are unavailable or the member could not be queried. Throws std::runtime_error
// if an option is malformed, with a one-line message that names the option and what it allows.
int show_replication(const ReplicationCommand& command);

}  // namespace tideline::cli
