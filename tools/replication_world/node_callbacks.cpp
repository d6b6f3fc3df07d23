// Node: the host callbacks of its state machines, with checks of the invariants.

#include <fmt/format.h>

#include <algorithm>

#include "replication_world/node.hpp"

namespace tideline::simulation {

void ReplicationWorld::Node::store(WriteNumber write, ShardId shard_id, const Record& record) {
    pending_writes_.push_back({write, shard_id, record, {}, {}, false});
}

void ReplicationWorld::Node::store_removal(WriteNumber write, ShardId,
                                           const std::vector<Key>& keys) {
    pending_writes_.push_back({write, {}, {}, keys, {}, false});
}

void ReplicationWorld::Node::store_shard_removal(WriteNumber write, ShardId shard_id) {
    pending_writes_.push_back({write, shard_id, {}, {}, {}, true});
}

void ReplicationWorld::Node::store_table_version(WriteNumber write, TableVersion version) {
    pending_writes_.push_back({write, {}, {}, {}, version, false});
}

void ReplicationWorld::Node::request_table(TableVersion) {
    world_->send(index_, world_->members(), std::string(1, kTableRequestMessage));
}

void ReplicationWorld::Node::reply(const Name& to, RequestNumber number, Reply kind,
                                   TableVersion version, const Record* record) {
    if (kind == Reply::granted && record) {
        for (const AttemptRecord& attempt : record->attempts) {
            if (attempt.outcome == AttemptOutcome::in_flight && attempt.owner.name == to &&
                world_->disks_by_attempt_[{record->key, attempt.owner, attempt.number}].size() <
                    world_->agreed_table_.min_replicas) {
                world_->record_violation(fmt::format(
                    "key {} was granted to {} by {} while on {} disks only, {} attempts, version "
                    "{}.{}",
                    record->key.value[1], to.value, name().value,
                    world_->disks_by_attempt_[{record->key, attempt.owner, attempt.number}].size(),
                    record->attempts.size(), record->version.table_version.value,
                    record->version.step));
            }
        }
    }
    MessageSender::reply(to, number, kind, version, record);
}

void ReplicationWorld::Node::on_cleared(RequestId request, AttemptNumber attempt_number) {
    const auto it = requests_.find(request);
    if (it == requests_.end()) {
        return world_->record_violation(
            fmt::format("{} sends an attempt of a request that has ended", name().value));
    }
    const EffectOwner self{name(), Incarnation{incarnation_}, request.value};
    const Key& key = it->second.guarded.key;
    // Invariant: of two members that send attempts of the same request, the second knows of the
    // first's attempt.
    if (world_->settings_.replication) {
        for (const auto& [other, known_owners] : world_->sent_attempts_[key]) {
            if (other != self && !it->second.known_owners.contains(other) &&
                !known_owners.contains(self)) {
                world_->record_violation(
                    fmt::format("key {}: {} sends an attempt without knowing of the attempt of {}",
                                key.value[1], name().value, other.name.value));
            }
        }
    }
    world_->sent_attempts_[key][self] = it->second.known_owners;
    if (world_->settings_.replication) {
        world_->acknowledgements_[key].sent = true;
        ++world_->granted_attempts;
    }
    world_->attempts_in_flight_.push_back(
        {index_, incarnation_, request, attempt_number, key, it->second.guarded.idempotent});
}

void ReplicationWorld::Node::on_rejected(RequestId request, Seconds) {
    finish_request(request, RequestResult::rejected);
}

void ReplicationWorld::Node::on_answer_found(RequestId request, const std::string& answer) {
    const auto it = requests_.find(request);
    if (it != requests_.end() && answer != answer_of(it->second.guarded.key)) {
        world_->record_violation(
            fmt::format("{}: received the answer to another request", name().value));
    }
    finish_request(request, RequestResult::answered_from_record);
}

void ReplicationWorld::Node::on_returned_to_policy(RequestId request,
                                                   const std::vector<AttemptRecord>& earlier) {
    const auto it = requests_.find(request);
    if (it == requests_.end()) {
        return;
    }
    ++world_->returned_requests;
    for (const AttemptRecord& each : earlier) {
        it->second.known_owners.insert(each.owner);
    }
    if (!earlier.empty() && !it->second.guarded.idempotent) {
        return world_->record_violation(
            "a request that is not idempotent and may have run was returned for another attempt");
    }
    it->second.attempts = std::max(it->second.attempts, static_cast<int>(earlier.size()));
    // Bounds the attempts of one request, as the retry limit of a client does.
    if (it->second.attempts > 6) {
        effect_log->request_ended(world_->now_, request);
        return finish_request(request, RequestResult::failed);
    }
    start_attempt(request, it->second);
}

void ReplicationWorld::Node::on_effect_unknown(RequestId request) {
    finish_request(request, RequestResult::failed);
}

void ReplicationWorld::Node::propose(const ReplicaTable& table) {
    world_->send(index_, world_->members(), kProposalMessage + bytes_of(table));
}

void ReplicationWorld::Node::request_reports() {
    if (!world_->settings_.reports) {
        return;
    }
    wire::Holding message;
    message.mutable_ask_report();
    for (int i = 0; i < world_->members(); ++i) {
        post(name_of(i), message);
    }
}

void ReplicationWorld::Node::post(const Name& to, const wire::Holding& message) {
    std::string bytes(1, kReplicationMessage);
    bytes += message.SerializeAsString();
    world_->send(index_, world_->node_of(to), std::move(bytes));
}

Seconds ReplicationWorld::Node::time() const {
    return world_->now_;
}

}  // namespace tideline::simulation
