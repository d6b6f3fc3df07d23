// Replica: what a new table of replica sets changes on this member.

#include <fmt/format.h>

#include <utility>

#include "replication/replica.hpp"

namespace tideline::replication {

void Replica::apply_table(Seconds now, const ReplicaTable& table) {
    // A planner that lags, asked after a restart, may not bring back primaries that were deposed:
    // no table older than one that was acted on is taken.
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

// Drops all shards that the table does not place on this disk. `own_disk`: this disk is the one on
// which the table counts this member's replicas.
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

// Takes on the shard's replica set of a new table.
void Replica::assign_shard(Seconds now, ShardId shard_id, const ReplicaSet& replica_set) {
    Shard& shard = shards_[shard_id];
    const ReplicaSet before = std::exchange(shard.replica_set, replica_set);
    // Before it was restarted this primary may have reported a member as caught up, which is then
    // made a replica. So writes wait for all that catch up, until the replica set changes.
    const bool anew = std::exchange(shard.restored, false) || before.since_table == TableVersion{};
    const bool was_primary = !before.replicas.empty() && before.primary() == self_;
    if (replica_set.since_table == before.since_table) {
        return;
    }
    // Whoever catches up, or begins a shard that was lost, holds nothing that can be wrong.
    if (shard.corrupt &&
        (replica_set.is_catching_up(self_) || replica_set.data_lost_in > before.data_lost_in)) {
        clear_shard(shard_id, shard);
    }
    drop_records_if(shard_id, shard, [&](const Record& record) {
        return record.version.table_version < replica_set.data_lost_in;
    });
    shard.open = false;
    shard.peers.clear();
    // Set on backups too: one that becomes the primary later has to know it.
    if (replica_set.data_lost_in > TableVersion{} &&
        replica_set.data_lost_in != before.data_lost_in) {
        shard.data_lost_until = now + settings_.time_to_live;
    }
    if (!shard.has_primary(self_) || !was_primary) {
        abort_operations(shard_id, shard);
    }
    if (shard.has_primary(self_)) {
        become_primary(now, shard_id, shard, anew);
    }
}

// Serves as the primary under a new replica set: sends the operations under way to its replicas,
// and compares with each member. `anew`: this process was not the primary before, and members that
// catch up may have been reported as caught up.
void Replica::become_primary(Seconds now, ShardId shard_id, Shard& shard, bool anew) {
    const ReplicaSet& replica_set = shard.replica_set;
    redirect_operations(now, shard_id, shard);
    const std::vector<OperationNumber> ready =
        operations_.ready_operations(local_writes_, shard_id);
    for (const Name& name : replica_set.replicas) {
        if (name == self_) {
            continue;
        }
        shard.peers[name].writes_wait = true;
        start_comparison(now, shard_id, shard, name);
    }
    for (const Name& name : replica_set.catching_up) {
        shard.peers[name].writes_wait = anew;
        start_comparison(now, shard_id, shard, name);
    }
    shard.next_comparison_at = now + settings_.comparison_interval;
    shard.open_if_caught_up();
    finish_operations(now, ready);
}

// Sends the operations under way to all replicas of the new set. With fewer replicas than the least
// they would be acknowledged by those that are left: they are sent back, to be asked for again once
// there are enough.
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

// Ends all that is under way as the primary of the shard.
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
