#include "cli/replication_json.hpp"

#include <array>
#include <cmath>
#include <utility>

namespace tideline::cli {
namespace {

using nlohmann::ordered_json;
using replication::AttemptOutcome;
using replication::AttemptRecord;
using replication::Name;
using replication::ReplicaSet;

const char* outcome_name(AttemptOutcome outcome) {
    constexpr std::array kNames = {"out", "may have run", "never ran", "ran"};
    return kNames.at(static_cast<std::size_t>(outcome));
}

ordered_json json_of_names(const std::vector<Name>& names) {
    ordered_json list = ordered_json::array();
    for (const Name& name : names) {
        list.push_back(name.value);
    }
    return list;
}

ordered_json json_of_member(const Name& name, const wire::HeldReport* report, bool removed) {
    ordered_json member = {{"member", name.value}, {"reported", report != nullptr}};
    if (report != nullptr) {
        member["works"] = report->works();
        member["records"] = report->records();
        member["bytes"] = report->bytes();
        member["homes"] = report->homes();
        member["open"] = report->open();
        member["to_send"] = report->to_send();
        member["granted"] = report->granted();
        member["repeats"] = report->repeats();
        member["throttled"] = report->throttled();
        member["uncopied"] = report->uncopied();
        member["table"] = report->number();
    }
    member["given_up"] = removed;
    return member;
}

ordered_json json_of_shard(std::uint32_t shard, const ReplicaSet& replica_set) {
    return {{"slot", shard},
            {"since", replica_set.since_table.value},
            {"copies", json_of_names(replica_set.replicas)},
            {"joining", json_of_names(replica_set.catching_up)},
            {"blind", replica_set.data_lost_in.value}};
}

}  // namespace

ordered_json json_of(const ReplicationStatus& status) {
    const replication::ReplicaTable& table = status.table;
    ordered_json object = {{"asked", status.asked_member},
                           {"steward", status.repair_coordinator},
                           {"table", table.version.value},
                           {"copies", table.replication_factor},
                           {"least", table.min_replicas},
                           {"slots", table.shards.size()},
                           {"whole", status.shards.complete},
                           {"few", status.shards.under_replicated},
                           {"out_of_reach", status.shards.unavailable},
                           {"blind", status.shards.data_lost},
                           {"joining", status.shards.catching_up},
                           {"to_send", status.records_to_send},
                           {"to_send_bytes", status.bytes_to_send},
                           {"repair_for", status.repair_time}};
    for (const auto& [name, report] : status.reports) {
        const bool removed = table.removed_members.contains(name);
        object["members"].push_back(json_of_member(name, report, removed));
    }
    for (std::uint32_t shard = 0; shard < table.shards.size(); ++shard) {
        object["placed"].push_back(json_of_shard(shard, table.shards[shard]));
    }
    return object;
}

ordered_json json_of(const std::optional<replication::Record>& record) {
    ordered_json object = {{"held", record.has_value()}};
    if (!record) {
        return object;
    }
    object["answered"] = record->answered;
    object["answer_bytes"] = record->answer.size();
    object["kept_for"] = record->expires_at;
    for (const AttemptRecord& attempt : record->attempts) {
        object["dispatches"].push_back(
            {{"member", attempt.owner.name.value},
             {"life", attempt.owner.incarnation.value},
             {"fate", outcome_name(attempt.outcome)},
             {"ago", std::isfinite(attempt.sent_at) ? -attempt.sent_at : -1}});
    }
    return object;
}

ordered_json json_of(const std::vector<audit::Record>& epochs) {
    ordered_json rows = ordered_json::array();
    for (const audit::Record& record : epochs) {
        const audit::Epoch& epoch = record.epochs[0];
        rows.push_back({{"life", record.incarnation.value},
                        {"number", epoch.number},
                        {"from", epoch.from},
                        {"to", epoch.to},
                        {"list", epoch.acting.version.list.value},
                        {"build", epoch.acting.build.value},
                        {"stage", epoch.acting.stage.value},
                        {"cap", epoch.acting.cap}});
    }
    return rows;
}

}  // namespace tideline::cli
