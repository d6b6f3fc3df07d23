#include "replication/replica.hpp"

#include <fmt/format.h>

#include <array>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "replication/replica_limits.hpp"

namespace tideline::replication {
namespace {

// Bits of a version's step that count the writes of one start of the process.
constexpr unsigned kStepBitsPerStart = 40;
// Bits of a message number that count the messages of one start of the process.
constexpr unsigned kMessageBitsPerStart = 32;

// Returns the number that precedes the first message. It differs for each start of each disk, and
// leaves room for all messages of that start.
std::uint64_t first_message_number(const Disk& disk, std::uint64_t start_count) {
    const std::array<std::uint64_t, 2> parts{disk.value, start_count};
    return XXH3_64bits(parts.data(), sizeof parts) << kMessageBitsPerStart;
}

}  // namespace

Replica::Replica(ReplicaHost& host, const ReplicaSettings& settings, const Name& self,
                 const Disk& disk, StoredState found, Seconds now)
    : host_(&host),
      settings_(settings),
      self_(self),
      disk_(disk),
      start_count_(found.start_count),
      newest_table_(found.table_version),
      sent_messages_(first_message_number(disk, found.start_count)),
      repair_allowance_(settings.repair_rate, now),
      // A write may have reached other members although this disk lost it in a crash, so a later
      // write must not get the same step.
      last_step_(found.start_count << kStepBitsPerStart),
      due_(now) {
    for (auto& [shard_id, record] : found.records) {
        record.expires_at += now;
        // The age of the attempt is unknown after a restart. It counts as too old for a retry.
        for (AttemptRecord& attempt : record.attempts) {
            attempt.sent_at = -kNever;
        }
        const Key key = record.key;
        shards_[shard_id].restored = true;
        shards_[shard_id].records.insert_or_assign(key, std::move(record));
    }
    for (const ShardId shard_id : found.corrupt) {
        shards_[shard_id].corrupt = true;
        host.log_alarm(fmt::format("shard corrupt: shard={} action=catch_up", shard_id.value));
    }
    // The replica stays inactive until it has a table that is at least as new as the one on the
    // disk.
    host.request_table(newest_table_);
}

Replica::Replica(const Replica& other, ReplicaHost& host) : Replica(other) {
    host_ = &host;
}

void Replica::tick(Seconds now) {
    due_ = kNever;
    repair_allowance_.refill(now);
    resend_overdue(now);
    for (auto& [shard_id, shard] : shards_) {
        if (shard.has_primary(self_)) {
            compare_and_repair_peers(now, shard_id, shard);
            stop_waiting_for_lagging_peers(now, shard_id, shard);
        }
    }
    finish_operations(now, operations_.ready_operations(local_writes_));
    drop_expired_records(now);
    schedule_tick(now +
                  (is_waiting_for_members() ? settings_.resend_interval / 3 : kExpiryInterval));
}

// Forgets sent messages whose acknowledgement would no longer count, and resends overdue
// operations.
void Replica::resend_overdue(Seconds now) {
    sent_messages_.forget_expired(now);
    const std::vector<OperationNumber> overdue =
        operations_.overdue_operations(now, settings_.resend_interval);
    for (const OperationNumber number : overdue) {
        if (Operation* const operation = operations_.find(number)) {
            send_operation(now, number, *operation);
        }
    }
    notify_waiting_claimants(overdue);
}

// Tells the claimants of overdue operations that their requests are still waiting. Without any
// reply they would report this primary as silent, and the repair coordinator would consider the
// only complete replica unavailable. One reply to each claimant suffices. Operations that wait for
// this member's own disk are left out, because a disk that hangs has to be noticed.
void Replica::notify_waiting_claimants(const std::vector<OperationNumber>& overdue) {
    std::map<Name, RequestNumber> newest;
    const auto add_claimant = [&](const Name& name, RequestNumber number) {
        RequestNumber& known = newest[name];
        known = std::max(known, number);
    };
    for (const OperationNumber number : overdue) {
        const Operation* const operation = operations_.find(number);
        if (!operation || operation->is_repair ||
            !local_writes_.is_stored(operation->local_write)) {
            continue;
        }
        if (operation->claimant) {
            add_claimant(operation->claimant->name, operation->claimant->number);
        }
        const Shard& shard = shards_.at(operation->shard_id);
        const auto queue = shard.queued_requests.find(operation->key);
        if (queue == shard.queued_requests.end()) {
            continue;
        }
        for (const ClaimantRequest& request : queue->second) {
            add_claimant(request.from, request.number);
        }
    }
    for (const auto& [name, number] : newest) {
        host_->reply_later(name, number, table_.version);
    }
}

bool Replica::is_waiting_for_members() const {
    if (!operations_.all().empty()) {
        return true;
    }
    for (const auto& [shard_id, shard] : shards_) {
        for (const auto& [name, peer] : shard.peers) {
            if (!peer.caught_up || peer.pending_comparison.value > 0) {
                return true;
            }
        }
    }
    return false;
}

}  // namespace tideline::replication
