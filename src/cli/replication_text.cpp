#include "cli/replication_text.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <cmath>
#include <string>

namespace tideline::cli {
namespace {

using replication::AttemptOutcome;
using replication::AttemptRecord;
using replication::Name;
using replication::Record;
using replication::ReplicaSet;
using replication::ReplicaTable;
using replication::TableVersion;

constexpr double kBytesPerMegabyte = 1e6;
constexpr std::uint64_t kBytesPerKilobyte = 1024;

const char* outcome_text(AttemptOutcome outcome) {
    constexpr std::array kTexts = {"in flight", "may have run", "not run", "answered"};
    return kTexts.at(static_cast<std::size_t>(outcome));
}

std::string result_text(const Record& record) {
    if (record.answered) {
        return fmt::format("answered, with {} bytes", record.answer.size());
    }
    return record.may_have_run() ? "may have run" : "not run";
}

std::string join_names(const std::vector<Name>& names) {
    std::string text;
    for (const Name& name : names) {
        text += (text.empty() ? "" : " ") + name.value;
    }
    return text;
}

void print_summary(const ReplicationStatus& status) {
    const ReplicaTable& table = status.table;
    fmt::print(
        "asked {}; repair coordinator {}; table {}: {} shards, {} replicas each, acknowledged by "
        "{}\n",
        status.asked_member, status.repair_coordinator.empty() ? "none" : status.repair_coordinator,
        table.version.value, table.shards.size(), table.replication_factor, table.min_replicas);
    fmt::print("complete {}, under-replicated {}, unavailable {}, data lost {}; catching up {}",
               status.shards.complete, status.shards.under_replicated, status.shards.unavailable,
               status.shards.data_lost, status.shards.catching_up);
    if (status.records_to_send > 0) {
        fmt::print(", {} records to send, about {:.1f} MB and {:.1f} s", status.records_to_send,
                   status.bytes_to_send / kBytesPerMegabyte, status.repair_time);
    }
    fmt::print("\n");
}

void print_members(const ReplicationStatus& status) {
    fmt::print("{:12} {:>8} {:>9} {:>7} {:>6} {:>8} {:>9} {:>8} {:>9} {:>12}\n", "member",
               "records", "KB", "primary", "open", "to send", "granted", "repeats", "rejected",
               "unreplicated");
    for (const auto& [name, report] : status.reports) {
        if (report == nullptr) {
            const bool removed = status.table.removed_members.contains(name);
            fmt::print("{:12} {}\n", name.value,
                       removed ? "removed" : "did not answer, or is gone");
            continue;
        }
        fmt::print("{:12} {:>8} {:>9} {:>7} {:>6} {:>8} {:>9} {:>8} {:>9} {:>12}{}\n", name.value,
                   report->records(), report->bytes() / kBytesPerKilobyte, report->homes(),
                   report->open(), report->to_send(), report->granted(), report->repeats(),
                   report->throttled(), report->uncopied(),
                   report->works() ? "" : "  ITS DISK FAILED");
    }
}

// Prints only the shards that lack replicas, have a replica that is catching up, or have lost data.
void print_shards(const ReplicaTable& table) {
    for (std::uint32_t shard = 0; shard < table.shards.size(); ++shard) {
        const ReplicaSet& replica_set = table.shards[shard];
        const bool data_lost = replica_set.data_lost_in > TableVersion{};
        const bool catching_up = !replica_set.catching_up.empty();
        if (replica_set.replicas.size() >= table.replication_factor && !catching_up && !data_lost) {
            continue;
        }
        fmt::print("shard {}: {}{}{}{}\n", shard, join_names(replica_set.replicas),
                   catching_up ? ", catching up " : "", join_names(replica_set.catching_up),
                   data_lost ? ", data lost: what was recorded there is not known" : "");
    }
}

}  // namespace

void print(const ReplicationStatus& status) {
    print_summary(status);
    print_members(status);
    print_shards(status.table);
}

void print(const std::optional<Record>& record) {
    if (!record) {
        fmt::print("no record: no attempt of this request is known\n");
        return;
    }
    fmt::print("{}; expires in {:.0f} s\n", result_text(*record), record->expires_at);
    for (const AttemptRecord& attempt : record->attempts) {
        const std::string age = std::isfinite(attempt.sent_at)
                                    ? fmt::format("{:.1f} s ago", -attempt.sent_at)
                                    : "long ago";
        fmt::print("  attempt by {}, incarnation {}: {}, {}\n", attempt.owner.name.value,
                   attempt.owner.incarnation.value, outcome_text(attempt.outcome), age);
    }
}

void print(const std::vector<audit::Record>& epochs) {
    for (const audit::Record& record : epochs) {
        const audit::Epoch& epoch = record.epochs[0];
        fmt::print(
            "incarnation {} epoch {:>4}: {:%Y-%m-%d %H:%M:%S} to {:%H:%M:%S}, list {}, build {} "
            "stage {} cap {:.2f}\n",
            record.incarnation.value, epoch.number,
            fmt::gmtime(static_cast<std::time_t>(epoch.from)),
            fmt::gmtime(static_cast<std::time_t>(epoch.to)), epoch.acting.version.list.value,
            epoch.acting.build.value, epoch.acting.stage.value, epoch.acting.cap);
    }
}

}  // namespace tideline::cli
