// What the simulated world knows of its own state: invariants, deadlines, completeness and the text
// that identifies the state.
#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "replication_world/node.hpp"
#include "replication_world/world.hpp"

namespace tideline::simulation {

// Invariant: the record of each acknowledged key is on the disk of at least one replica in the
// table that the planners committed last.
void ReplicationWorld::check_acknowledged() {
    for (const auto& entry : acknowledgements_) {
        const Key& key = entry.first;
        const ReplicaSet& replica_set = agreed_table_.replica_set(key);
        const bool on_disk = std::any_of(
            replica_set.replicas.begin(), replica_set.replicas.end(), [&](const Name& each) {
                return nodes_[static_cast<std::size_t>(node_of(each))]->has_record_on_disk(
                    key, agreed_table_);
            });
        if (on_disk) {
            continue;
        }
        std::string where;
        for (const auto& node : nodes_) {
            where += node->describe_record(key, agreed_table_);
        }
        return record_violation(fmt::format("acknowledged key {} is on no disk of its replicas:{}",
                                            key.value[1], where));
    }
}

bool ReplicationWorld::up(int node) const {
    return node < settings_.members && nodes_[static_cast<std::size_t>(node)]->up();
}

bool ReplicationWorld::has_pending_writes(int node) const {
    return up(node) && nodes_[static_cast<std::size_t>(node)]->has_pending_writes();
}

Seconds ReplicationWorld::due(int node) const {
    if (node >= settings_.members) {
        return std::numeric_limits<double>::infinity();
    }
    const Node& replica_node = *nodes_[static_cast<std::size_t>(node)];
    if (!replica_node.up()) {
        return std::numeric_limits<double>::infinity();
    }
    return std::min({replica_node.replica->due(), replica_node.effect_log->due(),
                     replica_node.repair_coordinator->due()});
}

const Replica* ReplicationWorld::replica(int node) const {
    return nodes_[static_cast<std::size_t>(node)]->replica.get();
}

const EffectLogClient* ReplicationWorld::effect_log(int node) const {
    return nodes_[static_cast<std::size_t>(node)]->effect_log.get();
}

const RepairCoordinator* ReplicationWorld::repair_coordinator_of(int node) const {
    return nodes_[static_cast<std::size_t>(node)]->repair_coordinator.get();
}

bool ReplicationWorld::fully_replicated() const {
    if (agreed_table_.shards.empty()) {
        return false;
    }
    for (std::uint32_t i = 0; i < agreed_table_.shards.size(); ++i) {
        const ReplicaSet& replica_set = agreed_table_.shards[i];
        if (replica_set.replicas.size() < agreed_table_.replication_factor ||
            !replica_set.catching_up.empty()) {
            return false;
        }
        std::set<int> places;
        for (const Name& each : replica_set.replicas) {
            places.insert(node_of(each) % settings_.places);
        }
        if (places.size() < replica_set.replicas.size()) {
            return false;
        }
        for (const Name& each : replica_set.replicas) {
            const Replica* member_replica = replica(node_of(each));
            if (!member_replica || member_replica->table().version != agreed_table_.version ||
                !member_replica->holds(ShardId{i})) {
                return false;
            }
        }
        if (!replica(node_of(replica_set.primary()))->is_open(ShardId{i})) {
            return false;
        }
    }
    return true;
}

std::vector<std::string> ReplicationWorld::missing_records() const {
    std::vector<std::string> all;
    for (const auto& [key, acknowledgement] : acknowledgements_) {
        if (agreed_table_.shards.empty()) {
            continue;
        }
        for (const Name& each : agreed_table_.replica_set(key).replicas) {
            const Replica* member_replica = replica(node_of(each));
            const Record* record = member_replica ? member_replica->find(key) : nullptr;
            if (!record ||
                (acknowledgement.sent && record->attempts.empty() && !record->answered)) {
                all.push_back(fmt::format("key {} at {}", key.value[1], each.value));
            }
        }
    }
    return all;
}

std::size_t ReplicationWorld::open_requests() const {
    std::size_t count = 0;
    for (const auto& node : nodes_) {
        count += node->open_requests();
    }
    return count;
}

std::string ReplicationWorld::state() const {
    std::string text = fmt::format("{};", agreed_table_.version.value);
    for (const auto& node : nodes_) {
        text += node->state();
    }
    for (const AttemptInFlight& each : attempts_in_flight_) {
        text += fmt::format("f{}.{}.{}.{}", each.node, each.incarnation, each.request.value,
                            each.number.value);
    }
    for (const auto& [key, count] : effects_by_key_) {
        text += fmt::format("r{}.{}", key.value[1], count);
    }
    for (const auto& [key, all] : sent_attempts_) {
        for (const auto& [each, known_owners] : all) {
            text += fmt::format("g{}{}.{}.{}", each.name.value, each.incarnation.value,
                                each.request, known_owners.size());
        }
    }
    return text;
}

}  // namespace tideline::simulation
