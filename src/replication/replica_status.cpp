// Replica: the report to the repair coordinator, and queries of operators and tests.

#include <fmt/format.h>

#include <set>

#include "replication/replica.hpp"
#include "replication/replica_limits.hpp"

namespace tideline::replication {

ReplicaReport Replica::report(Seconds now) {
    ReplicaReport report;
    report.disk = disk_;
    report.table_version = table_.version;
    for (auto& [shard_id, shard] : shards_) {
        report.records += shard.records.size();
        for (const auto& [key, record] : shard.records) {
            report.bytes += size_of(record);
        }
        if (shard.corrupt) {
            report.corrupt.push_back(shard_id);
        }
        if (!shard.has_primary(self_)) {
            continue;
        }
        ++report.primary_shards;
        report.open_shards += shard.open ? 1 : 0;
        if (shard.replica_set.data_lost_in > TableVersion{} && now >= shard.data_lost_until) {
            report.data_loss_over.push_back(shard_id);
        }
        for (auto& [name, peer] : shard.peers) {
            if (peer.caught_up && shard.replica_set.is_catching_up(name)) {
                report.caught_up.emplace_back(shard_id, name);
                peer.required_for_writes = true;
            }
            report.records_to_send += peer.to_send.size() + peer.repairs.size();
        }
    }
    std::set<std::pair<ShardId, Name>> lagging =
        operations_.lagging_members(now, settings_.lag_limit);
    // While a shard is not open, a member that does not answer the first comparison within the lag
    // limit counts as lagging too.
    for (const auto& [shard_id, shard] : shards_) {
        if (shard.has_primary(self_) && !shard.open) {
            for (const auto& [name, peer] : shard.peers) {
                if (!peer.caught_up && peer.pending_comparison.value > 0 &&
                    shard.next_comparison_at - settings_.comparison_interval + settings_.lag_limit <
                        now) {
                    lagging.emplace(shard_id, name);
                }
            }
        }
    }
    report.lagging.assign(lagging.begin(), lagging.end());
    return report;
}

const Record* Replica::find(const Key& key) const {
    if (table_.shards.empty()) {
        return nullptr;
    }
    const auto shard = shards_.find(table_.shard_of(key));
    if (shard == shards_.end()) {
        return nullptr;
    }
    const auto record = shard->second.records.find(key);
    return record == shard->second.records.end() ? nullptr : &record->second;
}

std::size_t Replica::records() const {
    std::size_t count = 0;
    for (const auto& [shard_id, shard] : shards_) {
        count += shard.records.size();
    }
    return count;
}

bool Replica::is_open(ShardId shard_id) const {
    const auto it = shards_.find(shard_id);
    return it != shards_.end() && it->second.open && it->second.has_primary(self_);
}

bool Replica::is_primary(ShardId shard_id) const {
    const auto it = shards_.find(shard_id);
    return it != shards_.end() && it->second.has_primary(self_);
}

bool Replica::holds(ShardId shard_id) const {
    const auto it = shards_.find(shard_id);
    return it != shards_.end() && !it->second.corrupt;
}

std::string Replica::state() const {
    std::string text = fmt::format("{}.{}.{}.{};", table_.version.value, newest_table_.value,
                                   local_writes_.unstored_count(), start_count_);
    for (const auto& [shard_id, shard] : shards_) {
        text += fmt::format("s{}.{}{}{}", shard_id.value, shard.replica_set.since_table.value,
                            shard.open ? "o" : "c", shard.corrupt ? "r" : "");
        for (const auto& [key, record] : shard.records) {
            text += fmt::format("k{}@{}.{}{}", key.value[0], record.version.table_version.value,
                                record.version.step, record.answered ? "a" : "");
            for (const AttemptRecord& attempt : record.attempts) {
                text += fmt::format("t{}.{}.{}.{}", attempt.owner.name.value, attempt.owner.request,
                                    attempt.number, static_cast<int>(attempt.outcome));
            }
        }
        for (const auto& [name, peer] : shard.peers) {
            text += fmt::format("y{}{}{}.{}.{}", name.value, peer.caught_up,
                                peer.pending_comparison.value > 0, peer.to_send.size(),
                                peer.repairs.size());
        }
        for (const auto& [key, all] : shard.queued_requests) {
            text += fmt::format("q{}", all.size());
        }
    }
    for (const auto& [number, operation] : operations_.all()) {
        text += fmt::format("o{}{}{}", operation.key.value[0], operation.is_repair,
                            static_cast<int>(operation.reply));
        for (const auto& [name, since] : operation.awaited) {
            text += name.value;
        }
        if (operation.claimant) {
            text += fmt::format("a{}.{}", operation.claimant->name.value,
                                operation.claimant->number.value);
        }
    }
    text += fmt::format("b{}", local_writes_.pending_answer_count());
    return text;
}

}  // namespace tideline::replication
