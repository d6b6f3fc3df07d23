#include "replication_world/world.hpp"

#include <fmt/format.h>

#include "replication_world/node.hpp"

namespace tideline::simulation {

ReplicationWorld::ReplicationWorld(const ReplicationWorldSettings& settings) : settings_(settings) {
    for (int i = 0; i < settings.members; ++i) {
        nodes_.push_back(std::make_unique<Node>(*this, i));
    }
}

ReplicationWorld::ReplicationWorld(const ReplicationWorld& other)
    : results(other.results),
      effects(other.effects),
      repeated_effects(other.repeated_effects),
      granted_attempts(other.granted_attempts),
      returned_requests(other.returned_requests),
      settings_(other.settings_),
      now_(other.now_),
      sent_(other.sent_),
      agreed_table_(other.agreed_table_),
      fault_(other.fault_),
      attempts_in_flight_(other.attempts_in_flight_),
      effects_by_key_(other.effects_by_key_),
      sent_attempts_(other.sent_attempts_),
      acknowledgements_(other.acknowledgements_),
      disks_by_attempt_(other.disks_by_attempt_) {
    for (const auto& node : other.nodes_) {
        nodes_.push_back(std::make_unique<Node>(*node, *this));
    }
}

ReplicationWorld::~ReplicationWorld() = default;

void ReplicationWorld::record_violation(const std::string& text) {
    if (fault_.empty()) {
        fault_ = text;
    }
}

void ReplicationWorld::send(int from, int to, std::string bytes) {
    if (to >= 0) {
        sent_.push_back({from, to, std::move(bytes)});
    }
}

void ReplicationWorld::count_result(int, RequestId, RequestResult result) {
    ++results[result];
}

int ReplicationWorld::node_of(const Name& name) const {
    for (int i = 0; i < settings_.members; ++i) {
        if (name_of(i) == name) {
            return i;
        }
    }
    return -1;
}

void ReplicationWorld::deliver(const WorldMessage& message, int to) {
    if (to < settings_.members) {
        if (nodes_[static_cast<std::size_t>(to)]->up()) {
            nodes_[static_cast<std::size_t>(to)]->handle_message(message.from, message.bytes);
        }
        return;
    }
    if (message.bytes[0] == kProposalMessage) {
        ReplicaTable table;
        if (!table_from(message.bytes.substr(1), table)) {
            return record_violation("the planners received a malformed proposal");
        }
        if (table.version.value != agreed_table_.version.value + 1) {
            return send(message.to, message.from, std::string(1, kRejectionMessage));
        }
        for (std::uint32_t i = 0; i < table.shards.size(); ++i) {
            if (table.shards[i].data_lost_in > TableVersion{}) {
                return record_violation(fmt::format("the data of shard {} was declared lost", i));
            }
        }
        agreed_table_ = table;
        check_acknowledged();
        for (int i = 0; i < settings_.members; ++i) {
            send(message.to, i, kTableMessage + bytes_of(agreed_table_));
        }
        return;
    }
    if (agreed_table_.version > TableVersion{}) {
        send(message.to, message.from, kTableMessage + bytes_of(agreed_table_));
    }
}

void ReplicationWorld::complete_writes(int node) {
    if (up(node)) {
        nodes_[static_cast<std::size_t>(node)]->complete_writes();
    }
}

void ReplicationWorld::tick(int node) {
    Node& replica_node = *nodes_[static_cast<std::size_t>(node)];
    if (!replica_node.up()) {
        return;
    }
    replica_node.replica->tick(now_);
    replica_node.effect_log->tick(now_);
    replica_node.repair_coordinator->tick(now_);
}

void ReplicationWorld::crash(int node) {
    if (up(node)) {
        nodes_[static_cast<std::size_t>(node)]->crash();
    }
}

void ReplicationWorld::start(int node) {
    if (!up(node)) {
        nodes_[static_cast<std::size_t>(node)]->start();
    }
}

void ReplicationWorld::wipe(int node) {
    nodes_[static_cast<std::size_t>(node)]->wipe();
}

void ReplicationWorld::corrupt_shard(int node, ShardId shard_id) {
    nodes_[static_cast<std::size_t>(node)]->corrupt_shard(shard_id);
}

void ReplicationWorld::set_holds_lease(int node, bool holds) {
    if (up(node)) {
        nodes_[static_cast<std::size_t>(node)]->set_holds_lease(holds);
    }
}

void ReplicationWorld::notify_membership(int node, int member, bool gone) {
    if (!up(node)) {
        return;
    }
    Node& replica_node = *nodes_[static_cast<std::size_t>(node)];
    const Incarnation incarnation{nodes_[static_cast<std::size_t>(member)]->incarnation()};
    replica_node.effect_log->update_member(now_, name_of(member), incarnation, gone);
    replica_node.repair_coordinator->update_member(
        now_, name_of(member), incarnation,
        Place{"place " + std::to_string(member % settings_.places)}, !gone);
}

void ReplicationWorld::report(int node, int repair_coordinator) {
    if (!up(node) || !up(repair_coordinator)) {
        return;
    }
    Node& from = *nodes_[static_cast<std::size_t>(node)];
    Node& to = *nodes_[static_cast<std::size_t>(repair_coordinator)];
    to.repair_coordinator->on_report(now_, name_of(node), Incarnation{from.incarnation()},
                                     from.replica->report(now_),
                                     from.effect_log->silent_primaries(now_));
}

void ReplicationWorld::plan(int repair_coordinator) {
    if (up(repair_coordinator)) {
        nodes_[static_cast<std::size_t>(repair_coordinator)]->repair_coordinator->plan_now(now_);
    }
}

void ReplicationWorld::set_agreed_table(const ReplicaTable& table) {
    agreed_table_ = table;
    for (const auto& node : nodes_) {
        if (!node->up()) {
            continue;
        }
        node->replica->apply_table(now_, table);
        node->effect_log->apply_table(now_, table);
    }
}

bool ReplicationWorld::has_open_request(int node) const {
    return nodes_[static_cast<std::size_t>(node)]->open_requests() > 0;
}

void ReplicationWorld::request_table(int node) {
    if (up(node)) {
        nodes_[static_cast<std::size_t>(node)]->request_table({});
    }
}

void ReplicationWorld::remove_member(int node, int member) {
    if (up(node)) {
        nodes_[static_cast<std::size_t>(node)]->repair_coordinator->remove_member(now_,
                                                                                  name_of(member));
    }
}

bool ReplicationWorld::submit(int node, std::uint64_t operation, bool idempotent,
                              Seconds deadline) {
    if (!up(node)) {
        return false;
    }
    nodes_[static_cast<std::size_t>(node)]->submit(operation, idempotent, deadline);
    return true;
}

// Endpoints recognize repeats of an idempotent request; any other attempt has an effect of its own.
// Invariant: a request takes effect at most once.
void ReplicationWorld::record_effect(const AttemptInFlight& attempt) {
    std::uint64_t& count = effects_by_key_[attempt.key];
    if (!attempt.idempotent || count == 0) {
        ++count;
        ++effects;
    }
    if (count > 1) {
        ++repeated_effects;
        if (settings_.replication) {
            record_violation(fmt::format("key {} took effect twice", attempt.key.value[1]));
        }
    }
}

void ReplicationWorld::end_attempt(const AttemptInFlight& attempt, AttemptOutcome outcome) {
    Node& sender = *nodes_[static_cast<std::size_t>(attempt.node)];
    if (sender.up() && sender.incarnation() == attempt.incarnation) {
        sender.on_attempt_ended(attempt, outcome);
    }
}

AttemptInFlight ReplicationWorld::take_attempt(std::size_t index) {
    AttemptInFlight attempt = attempts_in_flight_[index];
    attempts_in_flight_.erase(attempts_in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    return attempt;
}

void ReplicationWorld::run_attempt(std::size_t index) {
    const AttemptInFlight attempt = take_attempt(index);
    record_effect(attempt);
    end_attempt(attempt, AttemptOutcome::answered);
}

void ReplicationWorld::lose_attempt(std::size_t index, bool ran) {
    const AttemptInFlight attempt = take_attempt(index);
    if (ran) {
        record_effect(attempt);
        return end_attempt(attempt, AttemptOutcome::may_have_run);
    }
    // An attempt that is known not to have run does not prevent other members from sending theirs.
    sent_attempts_[attempt.key].erase(EffectOwner{
        name_of(attempt.node), Incarnation{attempt.incarnation}, attempt.request.value});
    end_attempt(attempt, AttemptOutcome::not_run);
}

}  // namespace tideline::simulation
