#include "replication/message_codec.hpp"

#include <algorithm>

#include "replication/message_fields.hpp"

namespace tideline::replication {

void put(Seconds now, const Record& record, wire::HeldRecord& to) {
    put(record.key, to);
    to.set_view(record.version.table_version.value);
    to.set_step(record.version.step);
    for (const AttemptRecord& attempt : record.attempts) {
        put(now, attempt, *to.add_tries());
    }
    to.set_answered(record.answered);
    to.set_answer(record.answer);
    to.set_content(record.content);
    to.set_bytes_only(record.bytes_only);
    to.set_left(std::max(0.0, record.expires_at - now));
}
Record record_from(Seconds now, const wire::HeldRecord& from) {
    Record record;
    record.key = key_from(from);
    record.version = {TableVersion{from.view()}, from.step()};
    for (const auto& attempt : from.tries()) {
        record.attempts.push_back(attempt_from(now, attempt));
    }
    record.answered = from.answered();
    record.answer = from.answer();
    record.content = from.content();
    record.bytes_only = from.bytes_only();
    record.expires_at = now + std::max(0.0, from.left());
    return record;
}

std::string bytes_of(const ReplicaTable& table) {
    wire::HeldTable to;
    to.set_number(table.version.value);
    to.set_wanted(static_cast<std::uint32_t>(table.replication_factor));
    to.set_least(static_cast<std::uint32_t>(table.min_replicas));
    std::map<Name, std::uint32_t> indexes;
    const auto index_of = [&](const Name& name) {
        const auto [it, added] =
            indexes.try_emplace(name, static_cast<std::uint32_t>(indexes.size()));
        if (added) {
            const auto disk = table.disks.find(name);
            wire::HeldMember& member = *to.add_members();
            member.set_name(name.value);
            member.set_given_up(table.removed_members.contains(name));
            member.set_disk(disk == table.disks.end() ? 0 : disk->second.value);
        }
        return it->second;
    };
    for (const auto& [name, disk] : table.disks) {
        index_of(name);
    }
    for (const Name& name : table.removed_members) {
        index_of(name);
    }
    for (const ReplicaSet& replica_set : table.shards) {
        wire::HeldSeats& seats = *to.add_slots();
        seats.set_since(replica_set.since_table.value);
        seats.set_blind(replica_set.data_lost_in.value);
        for (const Name& name : replica_set.replicas) {
            seats.add_copies(index_of(name));
        }
        for (const Name& name : replica_set.catching_up) {
            seats.add_joining(index_of(name));
        }
    }
    return to.SerializeAsString();
}
bool table_from(const std::string& bytes, ReplicaTable& table) {
    wire::HeldTable from;
    if (!from.ParseFromString(bytes)) {
        return false;
    }
    table = {};
    table.version = TableVersion{from.number()};
    table.replication_factor = from.wanted();
    table.min_replicas = from.least();
    for (const auto& member : from.members()) {
        if (member.disk() != 0) {
            table.disks[Name{member.name()}] = Disk{member.disk()};
        }
        if (member.given_up()) {
            table.removed_members.insert(Name{member.name()});
        }
    }
    for (const auto& seats : from.slots()) {
        ReplicaSet replica_set;
        replica_set.since_table = TableVersion{seats.since()};
        replica_set.data_lost_in = TableVersion{seats.blind()};
        for (const auto* indexes : {&seats.copies(), &seats.joining()}) {
            for (const std::uint32_t index : *indexes) {
                if (index >= static_cast<std::uint32_t>(from.members_size())) {
                    return false;
                }
                std::vector<Name>& names =
                    indexes == &seats.copies() ? replica_set.replicas : replica_set.catching_up;
                names.push_back(Name{from.members(static_cast<int>(index)).name()});
            }
        }
        table.shards.push_back(std::move(replica_set));
    }
    return true;
}

void put(const ReplicaReport& report, const std::set<Name>& silent_primaries,
         wire::HeldReport& to) {
    to.set_disk(report.disk.value);
    to.set_works(report.disk_works);
    to.set_number(report.table_version.value);
    const auto put_pairs = [](const auto& shards_and_members, auto& into) {
        for (const auto& [shard_id, name] : shards_and_members) {
            wire::HeldAbout& pair = *into.Add();
            pair.set_slot(shard_id.value);
            pair.set_name(name.value);
        }
    };
    put_pairs(report.caught_up, *to.mutable_synced());
    put_pairs(report.lagging, *to.mutable_lagging());
    for (const ShardId shard_id : report.data_loss_over) {
        to.add_sighted(shard_id.value);
    }
    for (const ShardId shard_id : report.corrupt) {
        to.add_rotten(shard_id.value);
    }
    to.set_records(report.records);
    to.set_bytes(report.bytes);
    to.set_homes(report.primary_shards);
    to.set_open(report.open_shards);
    to.set_to_send(report.records_to_send);
    for (const Name& name : silent_primaries) {
        to.add_silent(name.value);
    }
}
ReplicaReport report_from(const wire::HeldReport& from, std::set<Name>& silent_primaries) {
    ReplicaReport report;
    report.disk = Disk{from.disk()};
    report.disk_works = from.works();
    report.table_version = TableVersion{from.number()};
    for (const auto& each : from.synced()) {
        report.caught_up.emplace_back(ShardId{each.slot()}, Name{each.name()});
    }
    for (const auto& each : from.lagging()) {
        report.lagging.emplace_back(ShardId{each.slot()}, Name{each.name()});
    }
    for (const std::uint32_t shard_id : from.sighted()) {
        report.data_loss_over.push_back(ShardId{shard_id});
    }
    for (const std::uint32_t shard_id : from.rotten()) {
        report.corrupt.push_back(ShardId{shard_id});
    }
    report.records = from.records();
    report.bytes = from.bytes();
    report.primary_shards = from.homes();
    report.open_shards = from.open();
    report.records_to_send = from.to_send();
    for (const auto& name : from.silent()) {
        silent_primaries.insert(Name{name});
    }
    return report;
}

}  // namespace tideline::replication
