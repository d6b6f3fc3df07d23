// Replica: applies a new table of replica sets.

#include <fmt/format.h>

#include <utility>

#include "replication/replica.hpp"

namespace tideline::replication {

void Replica::apply_table(Seconds now, const ReplicaTable& table) {
    // A planner that lags behind may answer the request for a table after a restart. A table older
    // than the newest one that was applied must not reinstate a deposed primary.
    if (table.version < newest_table_ || table.version <= table_.version) {
        return;
    }
    table_ = table;
    newest_table_ = table.version;
    local_writes_.store_table_version(*host_, newest_table_);
    const auto disk = table.disks.find(self_);
    const bool own_disk = disk != table.disks.end() && disk->second == disk_;
    drop_unassigned_shards(own_disk);
    for (std::uint32_t i = 0; own_disk && i < table.shards.size(); ++i) {
        const ReplicaSet& replica_set = table.shards[i];
        if (replica_set.has_replica(self_) || replica_set.is_catching_up(self_)) {
            assign_shard(now, ShardId{i}, replica_set);
        }
    }
    schedule_tick(now + settings_.resend_interval);
}

// Drops all shards that the table does not assign to this disk. `own_disk`: the table counts this
// member's replicas on this disk.
void Replica::drop_unassigned_shards(bool own_disk) {
    const bool beyond_table =
        !shards_.empty() && shards_.rbegin()->first.value >= table_.shards.size();
    if (beyond_table) {
        host_->log_alarm(
            fmt::format("held shards dropped: reason=fewer_shards_in_table table_shards={}",
                        table_.shards.size()));
    }
    for (auto it = shards_.begin(); it != shards_.end();) {
        const bool in_table = it->first.value < table_.shards.size();
        const ReplicaSet* replica_set = in_table ? &table_.shards[it->first.value] : nullptr;
        if (own_disk && replica_set &&
            (replica_set->has_replica(self_) || replica_set->is_catching_up(self_))) {
            ++it;
            continue;
        }
        clear_shard(it->first, it->second);
        it = shards_.erase(it);
    }
}

void Replica::clear_shard(ShardId shard_id, Shard& shard) {
    abort_operations(shard_id, shard);
    shard.records.clear();
    shard.received_records.clear();
    shard.corrupt = false;
    local_writes_.store_shard_removal(*host_, shard_id);
}

// Applies the replica set that a new table assigns to the shard.
void Replica::assign_shard(Seconds now, ShardId shard_id, const ReplicaSet& replica_set) {
    Shard& shard = shards_[shard_id];
    const ReplicaSet before = std::exchange(shard.replica_set, replica_set);
    // Before a restart this primary may have reported a member as caught up, and the next table may
    // make that member a replica. Writes therefore wait for all members that catch up until the
    // replica set changes.
    const bool first_assignment =
        std::exchange(shard.restored, false) || before.since_table == TableVersion{};
    const bool was_primary = !before.replicas.empty() && before.primary() == self_;
    if (replica_set.since_table == before.since_table) {
        return;
    }
    // A member that catches up or that starts a lost shard anew needs none of its old records.
    if (shard.corrupt &&
        (replica_set.is_catching_up(self_) || replica_set.data_lost_in > before.data_lost_in)) {
        clear_shard(shard_id, shard);
    }
    drop_records_if(shard_id, shard, [&](const Record& record) {
        return record.version.table_version < replica_set.data_lost_in;
    });
    shard.open = false;
    shard.peers.clear();
    // This is set on backups too, because one that becomes the primary later has to know it.
    if (replica_set.data_lost_in > TableVersion{} &&
        replica_set.data_lost_in != before.data_lost_in) {
        shard.data_lost_until = now + settings_.time_to_live;
    }
    if (!shard.has_primary(self_) || !was_primary) {
        abort_operations(shard_id, shard);
    }
    if (shard.has_primary(self_)) {
        become_primary(now, shard_id, shard, first_assignment);
    }
}

// Starts to serve as the primary under a new replica set: sends the operations in progress to its
// replicas and compares the shard with each member. `first_assignment`: no table has assigned the
// shard to this member since the process started or dropped the shard. Members that catch up may
// then have been reported as caught up before.
void Replica::become_primary(Seconds now, ShardId shard_id, Shard& shard, bool first_assignment) {
    const ReplicaSet& replica_set = shard.replica_set;
    redirect_operations(now, shard_id, shard);
    const std::vector<OperationNumber> ready =
        operations_.ready_operations(local_writes_, shard_id);
    for (const Name& name : replica_set.replicas) {
        if (name == self_) {
            continue;
        }
        shard.peers[name].required_for_writes = true;
        start_comparison(now, shard_id, shard, name);
    }
    for (const Name& name : replica_set.catching_up) {
        shard.peers[name].required_for_writes = first_assignment;
        start_comparison(now, shard_id, shard, name);
    }
    shard.next_comparison_at = now + settings_.comparison_interval;
    shard.open_if_caught_up();
    finish_operations(now, ready);
}

// Sends the operations in progress to all replicas of the new set. If there are fewer replicas than
// the minimum, the operations are answered with try_again instead, because the remaining replicas
// alone must not acknowledge them; the claimants send their requests again.
void Replica::redirect_operations(Seconds now, ShardId shard_id, Shard& shard) {
    const ReplicaSet& replica_set = shard.replica_set;
    const bool too_few = replica_set.replicas.size() < table_.min_replicas;
    PendingOperations::Map& operations = operations_.all();
    for (auto it = operations.begin(); it != operations.end();) {
        auto& [number, operation] = *it;
        if (operation.shard_id != shard_id) {
            ++it;
            continue;
        }
        if (operation.is_repair || too_few) {
            reply_without_record(operation, Reply::try_again);
            it = operations.erase(it);
            continue;
        }
        operation.awaited.clear();
        for (const Name& name : replica_set.replicas) {
            if (name != self_) {
                operation.awaited[name] = now;
            }
        }
        send_operation(now, number, operation);
        ++it;
    }
    if (too_few) {
        shard.active_operations.clear();
        reply_to_queued(shard, Reply::try_again);
    }
}

// Aborts all operations and queued requests that this member handles as the primary of the shard.
void Replica::abort_operations(ShardId shard_id, Shard& shard) {
    PendingOperations::Map& operations = operations_.all();
    for (auto it = operations.begin(); it != operations.end();) {
        if (it->second.shard_id != shard_id) {
            ++it;
            continue;
        }
        reply_without_record(it->second, Reply::not_primary);
        it = operations.erase(it);
    }
    reply_to_queued(shard, Reply::not_primary);
    shard.active_operations.clear();
    shard.peers.clear();
    shard.open = false;
}

void Replica::reply_without_record(const Operation& operation, Reply reply) {
    if (operation.claimant) {
        host_->reply(operation.claimant->name, operation.claimant->number, reply, table_.version,
                     nullptr);
    }
}

void Replica::reply_to_queued(Shard& shard, Reply reply) {
    for (const auto& [key, requests] : shard.queued_requests) {
        for (const ClaimantRequest& request : requests) {
            host_->reply(request.from, request.number, reply, table_.version, nullptr);
        }
    }
    shard.queued_requests.clear();
}

}  // namespace tideline::replication
