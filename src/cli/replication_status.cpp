#include "cli/replication_status.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "cluster/message_codec.hpp"
#include "replication/message_codec.hpp"

namespace tideline::cli {
namespace {

using replication::Disk;
using replication::Name;
using replication::ReplicaSet;
using replication::ReplicaTable;
using replication::TableVersion;
using Reports = std::map<Name, const wire::HeldReport*>;

Reports reports_by_member(const wire::Holdings& answer, const ReplicaTable& table) {
    Reports reports;
    for (const auto& row : answer.rows()) {
        reports[Name{row.name()}] = row.has_report() ? &row.report() : nullptr;
    }
    for (const auto& [name, disk] : table.disks) {
        reports.try_emplace(name, nullptr);
    }
    return reports;
}

bool is_available(const ReplicaTable& table, const Reports& reports, std::uint32_t shard,
                  const Name& replica) {
    const auto found = reports.find(replica);
    const wire::HeldReport* report = found == reports.end() ? nullptr : found->second;
    if (report == nullptr || !report->works()) {
        return false;
    }
    const auto disk = table.disks.find(replica);
    if (disk == table.disks.end() || report->disk() != disk->second.value) {
        return false;
    }
    const auto& corrupt = report->rotten();
    return std::find(corrupt.begin(), corrupt.end(), shard) == corrupt.end();
}

ShardCounts count_shards(const ReplicaTable& table, const Reports& reports) {
    ShardCounts counts;
    for (std::uint32_t shard = 0; shard < table.shards.size(); ++shard) {
        const ReplicaSet& replica_set = table.shards[shard];
        const auto available = std::count_if(
            replica_set.replicas.begin(), replica_set.replicas.end(),
            [&](const Name& replica) { return is_available(table, reports, shard, replica); });
        const bool complete = static_cast<std::size_t>(available) >= table.replication_factor;
        counts.unavailable += available == 0;
        counts.under_replicated += available > 0 && !complete;
        counts.complete += complete;
        counts.data_lost += replica_set.data_lost_in > TableVersion{};
        counts.catching_up += !replica_set.catching_up.empty();
    }
    return counts;
}

// Estimates from all reports how much data is left to repair, and for how long.
void estimate_repair(ReplicationStatus& status) {
    std::uint64_t bytes = 0;
    std::uint64_t records = 0;
    for (const auto& [name, report] : status.reports) {
        if (report != nullptr) {
            status.records_to_send += report->to_send();
            bytes += report->bytes();
            records += report->records();
        }
    }
    const double mean_record_bytes =
        records > 0 ? static_cast<double>(bytes) / static_cast<double>(records) : 0;
    status.bytes_to_send = mean_record_bytes * static_cast<double>(status.records_to_send);
    for (const auto& [name, report] : status.reports) {
        if (report != nullptr && report->repair_rate() > 0) {
            const double member_bytes = mean_record_bytes * static_cast<double>(report->to_send());
            status.repair_time = std::max(status.repair_time, member_bytes / report->repair_rate());
        }
    }
}

}  // namespace

ReplicationStatus replication_status(const wire::Holdings& answer) {
    ReplicationStatus status;
    if (!replication::table_from(answer.table(), status.table)) {
        throw std::runtime_error("the replica table in the answer of " + answer.asked() +
                                 " is malformed; all members and tideline have to be of one "
                                 "version");
    }
    status.asked_member = answer.asked();
    status.repair_coordinator = answer.steward();
    status.reports = reports_by_member(answer, status.table);
    status.shards = count_shards(status.table, status.reports);
    estimate_repair(status);
    return status;
}

int exit_status(const ReplicationStatus& status) {
    if (status.table.shards.empty() || status.shards.unavailable > 0) {
        return 2;
    }
    return status.shards.under_replicated + status.shards.data_lost > 0 ? 1 : 0;
}

std::vector<audit::Record> replicated_epochs(const wire::Holdings& answer) {
    std::vector<audit::Record> records;
    for (const std::string& bytes : answer.epochs()) {
        wire::Record record;
        if (record.ParseFromString(bytes)) {
            records.push_back(cluster::record_from(record));
        }
    }
    std::erase_if(records, [](const auto& record) { return record.epochs.size() != 1; });
    std::sort(records.begin(), records.end(), [](const auto& left, const auto& right) {
        return std::pair(left.incarnation.value, left.epochs[0].number) <
               std::pair(right.incarnation.value, right.epochs[0].number);
    });
    return records;
}

}  // namespace tideline::cli
