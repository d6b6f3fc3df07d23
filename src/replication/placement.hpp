// Assignment of the replicas of a shard to members, by rendezvous hashing: few replicas move when a
// member joins or leaves. Replicas of a shard are in different places as long as there are enough
// places.
#pragma once

#include <vector>

#include "replication/types.hpp"

namespace tideline::replication {

// Returns the `wanted` best-ranked of `members`, the primary first, or fewer if there are not
// enough members. The same input gives the same result.
std::vector<Name> place_replicas(ShardId shard_id, const std::map<Name, Place>& members,
                                 std::size_t wanted);

}  // namespace tideline::replication
