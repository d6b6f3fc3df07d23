// Replica as a backup: receives records and digests from the primary, and acknowledges them once
// they are stored.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "replication/replica.hpp"
#include "replication/replica_limits.hpp"

namespace tideline::replication {
namespace {

// Returns the record as a backup stores it. `held` is the backup's previous record of the key, or
// null. Ages in a message are counted from its arrival, so a send time may be later than the true
// one. It is moved back by the longest delay, unless an earlier message on the same attempt gave a
// more accurate time.
Record make_backup_record(const Record& received, const Record* held) {
    Record record = received;
    for (AttemptRecord& attempt : record.attempts) {
        attempt.sent_at -= kMaxMessageDelay;
    }
    if (!held) {
        return record;
    }
    for (AttemptRecord& attempt : record.attempts) {
        for (const AttemptRecord& known : held->attempts) {
            if (known.is_attempt_of(attempt.owner, attempt.number)) {
                attempt.sent_at = std::max(attempt.sent_at, known.sent_at);
            }
        }
    }
    return record;
}

ReceivedRecord make_received_record(const Name& from, MessageNumber number, const Record& record) {
    ReceivedRecord received{from, number, record.version, {}};
    for (const AttemptRecord& attempt : record.attempts) {
        received.sent_at.push_back(attempt.sent_at);
    }
    return received;
}

}  // namespace

// Returns the shard that a message is about if `from` is its primary, otherwise null. Refuses a
// deposed primary, and requests a newer table if the sender's is newer than this member's.
Shard* Replica::shard_of_primary(const Name& from, ShardId shard_id, TableVersion since,
                                 MessageNumber number) {
    if (shard_id.value >= table_.shards.size() ||
        since > table_.shards[shard_id.value].since_table) {
        host_->request_table(since);
        return nullptr;
    }
    const ReplicaSet& replica_set = table_.shards[shard_id.value];
    const auto it = shards_.find(shard_id);
    // A primary that does not know yet that it was deposed must not go on beside its successor.
    if (since < replica_set.since_table || it == shards_.end() || replica_set.replicas.empty() ||
        from != replica_set.primary()) {
        host_->refuse(from, number, table_.version);
        return nullptr;
    }
    return it->second.corrupt ? nullptr : &it->second;
}

void Replica::receive_record(Seconds, const Name& from, ShardId shard_id, TableVersion since,
                             MessageNumber number, const Record* record) {
    Shard* const shard = shard_of_primary(from, shard_id, since, number);
    if (!shard) {
        return;
    }
    if (record) {
        const auto it = shard->records.find(record->key);
        const Record* const held = it == shard->records.end() ? nullptr : &it->second;
        if (!held || held->version < record->version) {
            store_record(shard_id, *shard, make_backup_record(*record, held));
            shard->received_records[record->key] = make_received_record(from, number, *record);
        }
    }
    local_writes_.acknowledge_when_stored(*host_, from, number);
}

// Changes the record in memory only: after a restart the ages of attempts are unknown anyway.
void Replica::receive_delay(const Name& from, ShardId shard_id, const Key& key,
                            MessageNumber number, Seconds delay) {
    const auto shard = shards_.find(shard_id);
    if (shard == shards_.end()) {
        return;
    }
    const auto found = shard->second.received_records.find(key);
    const auto record = shard->second.records.find(key);
    if (found == shard->second.received_records.end() || record == shard->second.records.end() ||
        found->second.from != from || found->second.number != number ||
        found->second.version != record->second.version || delay < 0) {
        return;
    }
    std::vector<AttemptRecord>& attempts = record->second.attempts;
    for (std::size_t i = 0; i < attempts.size() && i < found->second.sent_at.size(); ++i) {
        attempts[i].sent_at = std::max(attempts[i].sent_at, found->second.sent_at[i] - delay);
    }
    shard->second.received_records.erase(found);
}

void Replica::receive_digests(Seconds now, const Name& from, ShardId shard_id, TableVersion since,
                              MessageNumber number, const Digests& theirs) {
    const Shard* const shard = shard_of_primary(from, shard_id, since, number);
    if (!shard) {
        return;
    }
    ShardDifferences found = find_differences(now, shard->records, theirs);
    local_writes_.send_differences_when_stored(*host_, from, number, std::move(found.ranges),
                                               std::move(found.key_versions));
}

void Replica::on_stored(Seconds now, WriteNumber up_to) {
    local_writes_.on_stored(*host_, up_to);
    finish_operations(now, operations_.ready_operations(local_writes_));
}

void Replica::mark_corrupt(Seconds, ShardId shard_id) {
    const auto it = shards_.find(shard_id);
    if (it == shards_.end() || it->second.corrupt) {
        return;
    }
    it->second.corrupt = true;
    abort_operations(shard_id, it->second);
    host_->log_alarm(fmt::format("shard corrupt: shard={} action=catch_up", shard_id.value));
}

}  // namespace tideline::replication
