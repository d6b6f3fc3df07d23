// Data types of leases: names, fencing tokens, members, and the answers to a member's requests.
#pragma once

#include <string>

#include "cluster/types.hpp"

namespace tideline::lease {

using cluster::Incarnation;
using cluster::Name;

// Names a task that one member at a time does for the whole cluster.
using LeaseName = Id<struct LeaseNameTag, std::string>;
// Identifies one grant of a lease. A later grant has a higher token; 0 means that there is no
// grant.
using FencingToken = Id<struct FencingTokenTag, std::uint64_t>;
// Numbers the requests of a member.
using LeaseRequestId = Id<struct LeaseRequestTag, std::uint64_t>;

// One incarnation of a member. A restarted process has a new incarnation and so is another holder.
struct Member {
    Name name;
    Incarnation incarnation;
    auto operator<=>(const Member&) const = default;
};

// The result of a lease request. The numeric values are part of the wire protocol.
enum class Answer {
    // The member holds the lease under the token, for the span from when it sent the request.
    granted,
    // The member is in the queue.
    waiting,
    // The token was superseded or released, or it is not renewed any more.
    over,
    // This planner can't decide, for example because it is not the leader. The member should ask
    // another planner, or retry.
    not_now,
    // The request can't succeed: a limit is reached, or the name is invalid.
    refused
};
// Why a holding ended. The numeric values are part of the wire protocol and of snapshots.
enum class HoldingEnd {
    held,       // the holding has not ended
    released,   // the holder released the lease
    expired,    // the lease was not renewed in time
    unclaimed,  // the waiter that was granted the lease did not request it in time
    revoked     // an operator revoked the lease
};

}  // namespace tideline::lease
