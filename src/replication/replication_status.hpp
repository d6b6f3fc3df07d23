// Counts the shards by their state, for status queries and incident alarms.
#pragma once

#include <cstddef>
#include <set>

#include "replication/member_health.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Numbers of shards by state. Each shard is counted in exactly one of `complete`,
// `under_replicated` and `unavailable`, and may be counted in the other fields too.
struct ReplicationStatus {
    std::size_t shards = 0;
    std::size_t complete = 0;          // all replicas are available
    std::size_t under_replicated = 0;  // some replicas are available
    std::size_t single_place = 0;      // all replicas are available, but some share a place
    std::size_t unavailable = 0;       // no replica is available
    // All replicas were lost, and the lost records could still be alive.
    std::size_t data_lost = 0;
    std::size_t catching_up = 0;  // a member is catching up
    // Members with unavailable replicas.
    std::set<Name> absent_members;
};

ReplicationStatus replication_status(Seconds now, const ReplicaTable& table,
                                     const MemberHealth& member_health);

}  // namespace tideline::replication
