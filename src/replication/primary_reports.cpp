#include "replication/primary_reports.hpp"

namespace tideline::replication {
namespace {

bool is_primary_of(const Name& name, ShardId shard_id, const ReplicaTable& table) {
    return shard_id.value < table.shards.size() && !table.shards[shard_id.value].replicas.empty() &&
           table.shards[shard_id.value].primary() == name;
}

}  // namespace

void PrimaryReports::add(Seconds now, const Name& sender, const ReplicaReport& report,
                         const ReplicaTable& table) {
    if (report.table_version != table.version) {
        return;
    }
    for (const auto& shard_and_member : report.caught_up) {
        if (is_primary_of(sender, shard_and_member.first, table)) {
            caught_up_.insert(shard_and_member);
        }
    }
    for (const auto& shard_and_member : report.lagging) {
        if (is_primary_of(sender, shard_and_member.first, table)) {
            lagging_[shard_and_member] = now;
        }
    }
    for (const ShardId shard_id : report.data_loss_over) {
        if (is_primary_of(sender, shard_id, table)) {
            data_loss_over_.insert(shard_id);
        }
    }
}

void PrimaryReports::clear() {
    caught_up_.clear();
    lagging_.clear();
    data_loss_over_.clear();
}

bool PrimaryReports::is_caught_up(ShardId shard_id, const Name& name) const {
    return caught_up_.contains({shard_id, name});
}

std::optional<Seconds> PrimaryReports::lagging_at(ShardId shard_id, const Name& name) const {
    const auto lag = lagging_.find({shard_id, name});
    if (lag == lagging_.end()) {
        return std::nullopt;
    }
    return lag->second;
}

bool PrimaryReports::is_data_loss_over(ShardId shard_id) const {
    return data_loss_over_.contains(shard_id);
}

}  // namespace tideline::replication
