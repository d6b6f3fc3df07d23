// Node: the requests of its state machines to their hosts, with checks of the invariants.

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
                world_->on_disks_[{record->key, attempt.owner, attempt.number}].size() <
                    world_->agreed_.min_replicas) {
                world_->fail(fmt::format(
                    "key {} is granted to {} by {} on {} disks only, {} tries, version {}.{}",
                    record->key.value[1], to.value, name().value,
                    world_->on_disks_[{record->key, attempt.owner, attempt.number}].size(),
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
        return world_->fail(fmt::format("{} sends what nobody waits for", name().value));
    }
    const EffectOwner self{name(), Incarnation{incarnation_}, request.value};
    const Key& key = it->second.guarded.key;
    // An invariant: of two members that send the same request, the second knows of the first.
    if (world_->settings_.replication) {
        for (const auto& [other, known_owners] : world_->sent_attempts_[key]) {
            if (other != self && !it->second.known_owners.contains(other) &&
                !known_owners.contains(self)) {
                world_->fail(fmt::format("key {}: {} sends beside {} without knowing of it",
                                         key.value[1], name().value, other.name.value));
            }
        }
    }
    world_->sent_attempts_[key][self] = it->second.known_owners;
    if (world_->settings_.replication) {
        world_->acknowledged_[key].sent = true;
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
        world_->fail(fmt::format("{}: another's answer", name().value));
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
        return world_->fail("what may have run is entered again");
    }
    it->second.attempts = std::max(it->second.attempts, static_cast<int>(earlier.size()));
    if (it->second.attempts > 6) {
        effect_log->request_ended(world_->now_, request);
        return finish_request(request, RequestResult::failed);
    }
    attempt(request, it->second);
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
