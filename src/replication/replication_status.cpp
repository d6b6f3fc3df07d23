#include "replication/replication_status.hpp"

namespace tideline::replication {
namespace {

// Adds one shard to the counts.
void count_shard(Seconds now, ShardId shard_id, const ReplicaTable& table,
                 const MemberHealth& member_health, ReplicationStatus& status) {
    const ReplicaSet& replica_set = table.shards[shard_id.value];
    std::size_t available = 0;
    std::set<Place> places;
    for (const Name& name : replica_set.replicas) {
        if (member_health.is_unavailable(now, shard_id, name)) {
            status.absent_members.insert(name);
            continue;
        }
        ++available;
        const auto member = member_health.members().find(name);
        if (member != member_health.members().end()) {
            places.insert(member->second.place);
        }
    }
    if (available == 0) {
        ++status.unavailable;
    } else if (available < table.replication_factor) {
        ++status.under_replicated;
    }
    if (available >= table.replication_factor) {
        ++status.complete;
        if (places.size() < table.replication_factor) {
            ++status.single_place;
        }
    }
    if (replica_set.data_lost_in > TableVersion{}) {
        ++status.data_lost;
    }
    if (!replica_set.catching_up.empty()) {
        ++status.catching_up;
    }
}

}  // namespace

ReplicationStatus replication_status(Seconds now, const ReplicaTable& table,
                                     const MemberHealth& member_health) {
    ReplicationStatus status;
    status.shards = table.shards.size();
    for (std::uint32_t i = 0; i < table.shards.size(); ++i) {
        count_shard(now, ShardId{i}, table, member_health, status);
    }
    return status;
}

}  // namespace tideline::replication
