// Replica as the primary of a shard: operations, which wait for the acknowledgements of the
// replicas.

#include <utility>

#include "replication/replica.hpp"
#include "replication/replica_limits.hpp"

namespace tideline::replication {

void Replica::store_record(ShardId shard_id, Shard& shard, const Record& record) {
    local_writes_.store(*host_, shard_id, record);
    shard.records.insert_or_assign(record.key, record);
}

// Stores the record under a new version and replicates it. Replies to the claimant, if there is
// one.
void Replica::write(Seconds now, ShardId shard_id, Shard& shard, Record record,
                    std::optional<ReplyTarget> claimant, Reply reply) {
    record.version = {shard.replica_set.since_table, ++last_step_};
    record.expires_at =
        now + (record.bytes_only ? settings_.bytes_time_to_live : settings_.time_to_live);
    store_record(shard_id, shard, record);
    Operation operation;
    operation.shard_id = shard_id;
    operation.key = record.key;
    operation.is_write = true;
    operation.reply = reply;
    operation.claimant = std::move(claimant);
    begin_operation(now, shard, std::move(operation));
}

// Replies with the present record once the replicas have confirmed this primary. Reads need this
// too: a primary that does not know yet that it was deposed would reply with an outdated record.
void Replica::confirm_record(Seconds now, ShardId shard_id, Shard& shard,
                             const ClaimantRequest& request, Reply reply) {
    Operation operation;
    operation.shard_id = shard_id;
    operation.key = request.key;
    operation.reply = reply;
    operation.claimant = ReplyTarget{request.from, request.number};
    begin_operation(now, shard, std::move(operation));
}

void Replica::begin_operation(Seconds now, Shard& shard, Operation operation) {
    const OperationNumber number = operations_.next_number();
    if (!operation.is_repair) {
        // The last write includes the version of the table that this operation is based on.
        operation.local_write = local_writes_.last_write();
        shard.active_operations[operation.key] = number;
        // A member that has not caught up gets the key after the other keys that it lacks.
        for (auto& [name, peer] : shard.peers) {
            if (peer.required_for_writes || peer.caught_up) {
                operation.awaited[name] = now;
            } else {
                peer.to_send.push_back(operation.key);
            }
        }
    }
    Operation& begun = operations_.add(std::move(operation));
    send_operation(now, number, begun);
    if (PendingOperations::is_ready(begun, local_writes_)) {
        finish_operation(now, number);
    }
}

// Sends the record to all members that have not acknowledged it.
void Replica::send_operation(Seconds now, OperationNumber number, Operation& operation) {
    const Shard& shard = shards_.at(operation.shard_id);
    const auto record = shard.records.find(operation.key);
    operation.sent_at = now;
    for (const auto& [name, since] : operation.awaited) {
        const MessageNumber message =
            sent_messages_.add({number, name, now, false, operation.shard_id});
        host_->send_record(name, operation.shard_id, shard.replica_set.since_table, message,
                           record == shard.records.end() ? nullptr : &record->second);
    }
    if (!operation.awaited.empty()) {
        schedule_tick(now + settings_.resend_interval);
    }
}

// Ends the operation if it waits for nothing any more, and serves the requests queued behind it.
void Replica::finish_operation(Seconds now, OperationNumber number) {
    Operation* const found = operations_.find(number);
    if (!found || !PendingOperations::is_ready(*found, local_writes_)) {
        return;
    }
    const Operation operation = std::move(*found);
    operations_.erase(number);
    Shard& shard = shards_.at(operation.shard_id);
    if (operation.is_repair) {
        for (auto& [name, peer] : shard.peers) {
            if (peer.repairs.erase(number) > 0) {
                return send_repairs(now, operation.shard_id, shard, name);
            }
        }
        return;
    }
    shard.active_operations.erase(operation.key);
    if (operation.claimant) {
        const auto record = shard.records.find(operation.key);
        host_->reply(operation.claimant->name, operation.claimant->number, operation.reply,
                     table_.version, record == shard.records.end() ? nullptr : &record->second);
    }
    serve_queued_requests(now, operation.shard_id, operation.key);
}

void Replica::finish_operations(Seconds now, const std::vector<OperationNumber>& numbers) {
    for (const OperationNumber number : numbers) {
        finish_operation(now, number);
    }
}

void Replica::on_acknowledged(Seconds now, const Name& from, MessageNumber number) {
    const SentMessage* const found = sent_messages_.find(from, number);
    if (!found || found->is_comparison) {
        return;
    }
    const SentMessage message = *found;
    sent_messages_.erase(number);
    Operation* const operation = operations_.find(message.operation);
    if (!operation || now > message.sent_at + kMaxMessageDelay) {
        return;
    }
    send_measured_delay(*operation, from, number, now - message.sent_at);
    operation->awaited.erase(from);
    finish_operation(now, message.operation);
}

// Tells a member an upper bound for the delay of the acknowledged message. The member counts the
// ages of attempts from the arrival of that message, and without this bound has to assume the
// longest delay. No operation waits for this message.
void Replica::send_measured_delay(const Operation& operation, const Name& to, MessageNumber number,
                                  Seconds delay) {
    if (!operation.is_write && !operation.is_repair) {
        return;
    }
    const Records& records = shards_.at(operation.shard_id).records;
    const auto record = records.find(operation.key);
    if (record != records.end() && !record->second.answered && record->second.may_have_run()) {
        host_->send_delay(to, operation.shard_id, operation.key, number, delay);
    }
}

void Replica::on_refused(Seconds, const Name& from, MessageNumber number, TableVersion version) {
    if (sent_messages_.find(from, number) && version > table_.version) {
        host_->request_table(version);
    }
}

}  // namespace tideline::replication
