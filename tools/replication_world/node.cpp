#include "replication_world/node.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace tideline::simulation {

ReplicationWorld::Node::Node(ReplicationWorld& world, int index)
    : world_(&world), index_(index), disk_{static_cast<std::uint64_t>(index + 1) * 1000 + 1} {
    start();
}

ReplicationWorld::Node::Node(const Node& other, ReplicationWorld& world)
    : world_(&world),
      index_(other.index_),
      disk_(other.disk_),
      start_count_(other.start_count_),
      table_version_(other.table_version_),
      stored_records_(other.stored_records_),
      corrupt_shards_(other.corrupt_shards_),
      pending_writes_(other.pending_writes_),
      last_write_(other.last_write_),
      requests_(other.requests_),
      last_request_id_(other.last_request_id_),
      incarnation_(other.incarnation_) {
    if (other.replica) {
        replica = std::make_unique<Replica>(*other.replica, static_cast<ReplicaHost&>(*this));
    }
    if (other.effect_log) {
        effect_log = std::make_unique<EffectLogClient>(*other.effect_log,
                                                       static_cast<EffectLogClientHost&>(*this));
    }
    if (other.repair_coordinator) {
        repair_coordinator = std::make_unique<RepairCoordinator>(
            *other.repair_coordinator, static_cast<RepairCoordinatorHost&>(*this));
    }
}

Name ReplicationWorld::Node::name() const {
    return name_of(index_);
}

bool ReplicationWorld::Node::up() const {
    return replica != nullptr;
}

void ReplicationWorld::Node::start() {
    ++start_count_;
    ++incarnation_;
    last_write_ = {};  // each start numbers its writes from the beginning
    StoredState found;
    found.start_count = start_count_;
    found.table_version = table_version_;
    found.corrupt = corrupt_shards_;
    for (const auto& [key, each] : stored_records_) {
        if (corrupt_shards_.contains(each.first)) {
            continue;
        }
        found.records.push_back(each);
        found.records.back().second.expires_at = world_->settings_.replica.time_to_live;
    }
    effect_log = std::make_unique<EffectLogClient>(*this, world_->settings_.effect_log, name(),
                                                   Incarnation{incarnation_}, world_->now_);
    repair_coordinator =
        std::make_unique<RepairCoordinator>(*this, world_->settings_.repair_coordinator);
    replica = std::make_unique<Replica>(*this, world_->settings_.replica, name(), disk_,
                                        std::move(found), world_->now_);
}

void ReplicationWorld::Node::crash() {
    pending_writes_.clear();
    for (const auto& [request, state] : requests_) {
        world_->count_result(index_, request, RequestResult::lost);
    }
    requests_.clear();
    replica.reset();
    effect_log.reset();
    repair_coordinator.reset();
}

void ReplicationWorld::Node::wipe() {
    disk_.value += 1;
    start_count_ = 0;
    table_version_ = {};
    stored_records_.clear();
    corrupt_shards_.clear();
}

void ReplicationWorld::Node::corrupt_shard(ShardId shard_id) {
    corrupt_shards_.insert(shard_id);
}

void ReplicationWorld::Node::complete_writes() {
    for (const PendingWrite& each : std::exchange(pending_writes_, {})) {
        if (each.record) {
            stored_records_[each.record->key] = {each.shard_id, *each.record};
            for (const AttemptRecord& attempt : each.record->attempts) {
                world_->disks_by_attempt_[{each.record->key, attempt.owner, attempt.number}].insert(
                    disk_.value);
            }
        }
        for (const Key& key : each.removed_keys) {
            stored_records_.erase(key);
        }
        if (each.clears_shard) {
            corrupt_shards_.erase(each.shard_id);
            std::erase_if(stored_records_,
                          [&](const auto& stored) { return stored.second.first == each.shard_id; });
        }
        table_version_ = std::max(table_version_, each.table_version);
        last_write_ = each.write;
    }
    replica->on_stored(world_->now_, last_write_);
}

bool ReplicationWorld::Node::has_pending_writes() const {
    return !pending_writes_.empty();
}

void ReplicationWorld::Node::submit(std::uint64_t operation, bool idempotent, Seconds deadline) {
    const RequestId request{++last_request_id_};
    ClientRequest& client_request = requests_[request];
    client_request.guarded = {request, key_of(operation), operation, idempotent, deadline};
    start_attempt(request, client_request);
}

void ReplicationWorld::Node::start_attempt(RequestId id, ClientRequest& request) {
    const AttemptNumber number{request.attempts++};
    if (!world_->settings_.replication) {
        return on_cleared(id, number);
    }
    effect_log->before_attempt(world_->now_, request.guarded, number, Location{}, Cell{});
}

void ReplicationWorld::Node::on_attempt_ended(const AttemptInFlight& attempt,
                                              AttemptOutcome outcome) {
    const bool is_open = requests_.contains(attempt.request);
    if (world_->settings_.replication) {
        const std::string answer =
            outcome == AttemptOutcome::answered ? answer_of(attempt.key) : "";
        effect_log->attempt_ended(world_->now_, attempt.request, attempt.number, outcome, answer);
        if (is_open) {
            effect_log->request_ended(world_->now_, attempt.request);
        }
    }
    if (!is_open) {
        return;
    }
    requests_.erase(attempt.request);
    world_->count_result(index_, attempt.request,
                         outcome == AttemptOutcome::answered  ? RequestResult::succeeded
                         : outcome == AttemptOutcome::not_run ? RequestResult::rejected
                                                              : RequestResult::failed);
}

std::string ReplicationWorld::Node::answer_of(const Key& key) {
    return "answer " + std::to_string(key.value[1]);
}

void ReplicationWorld::Node::handle_message(int from, const std::string& bytes) {
    const Seconds now = world_->now_;
    if (bytes[0] == kTableMessage) {
        return handle_table(bytes);
    }
    if (bytes[0] == kRejectionMessage) {
        repair_coordinator->proposal_failed(now);
        return request_table({});
    }
    wire::Holding message;
    if (!message.ParseFromString(bytes.substr(1))) {
        return world_->record_violation("a member received a malformed message");
    }
    if (message.has_ask_report()) {
        wire::Holding response;
        put(replica->report(now), effect_log->silent_primaries(now), *response.mutable_report());
        response.mutable_report()->set_no(incarnation_);
        return post(name_of(from), response);
    }
    if (message.has_report()) {
        std::set<Name> silent;
        const ReplicaReport report = report_from(message.report(), silent);
        repair_coordinator->on_report(now, name_of(from), Incarnation{message.report().no()},
                                      report, silent);
        return;
    }
    replication::dispatch_message(now, name_of(from), message, *replica, *effect_log);
}

void ReplicationWorld::Node::handle_table(const std::string& bytes) {
    const Seconds now = world_->now_;
    ReplicaTable table;
    if (!table_from(bytes.substr(1), table)) {
        return world_->record_violation("a member received a malformed table");
    }
    replica->apply_table(now, table);
    effect_log->apply_table(now, table);
    if (repair_coordinator->holds_lease()) {
        repair_coordinator->apply_table(now, table);
    }
}

void ReplicationWorld::Node::set_holds_lease(bool holds) {
    if (holds && !repair_coordinator->holds_lease()) {
        repair_coordinator->lease_acquired(world_->now_, replica->table());
        request_table({});
    }
    if (!holds) {
        repair_coordinator->lease_lost();
    }
}

std::string ReplicationWorld::Node::state() const {
    std::string text =
        up() ? replica->state() + effect_log->state() + repair_coordinator->state() : "down";
    text += fmt::format("w{}d{}k", pending_writes_.size(), disk_.value);
    for (const auto& [key, each] : stored_records_) {
        text += fmt::format("{}.{}.{}", key.value[0], each.second.version.table_version.value,
                            each.second.version.step);
    }
    for (const auto& [request, client_request] : requests_) {
        text += fmt::format("i{}.{}.{}", request.value, client_request.attempts,
                            client_request.known_owners.size());
    }
    return text;
}

std::string ReplicationWorld::Node::describe_record(const Key& key,
                                                    const ReplicaTable& table) const {
    const ReplicaSet& replica_set = table.replica_set(key);
    const auto disk = table.disks.find(name());
    return fmt::format(
        " {}{}{}{}{}{}", name().value, replica_set.has_replica(name()) ? " (replica)" : "",
        disk != table.disks.end() && disk->second == disk_ ? "" : " (another disk)",
        up() ? "" : " (node is down)", stored_records_.contains(key) ? " (record stored)" : "",
        up() && replica->find(key) ? " (record in memory)" : "");
}

bool ReplicationWorld::Node::has_record_on_disk(const Key& key, const ReplicaTable& table) const {
    const auto disk = table.disks.find(name());
    const auto stored = stored_records_.find(key);
    return disk != table.disks.end() && disk->second == disk_ && stored != stored_records_.end() &&
           !corrupt_shards_.contains(stored->second.first);
}

std::uint64_t ReplicationWorld::Node::incarnation() const {
    return incarnation_;
}

std::size_t ReplicationWorld::Node::open_requests() const {
    return requests_.size();
}

void ReplicationWorld::Node::finish_request(RequestId request, RequestResult result) {
    if (requests_.erase(request) > 0) {
        world_->count_result(index_, request, result);
    }
}

}  // namespace tideline::simulation
