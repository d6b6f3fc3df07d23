// Replica as the primary of a shard: anti-entropy. Compares digests with each other member and
// sends it the records that it lacks.

#include <utility>

#include "replication/replica.hpp"
#include "replication/replica_limits.hpp"

namespace tideline::replication {

// Starts the comparisons that are due, and continues to send records to members that catch up.
void Replica::compare_and_repair_peers(Seconds now, ShardId shard_id, Shard& shard) {
    if (shard.open && now >= shard.next_comparison_at) {
        shard.next_comparison_at = now + settings_.comparison_interval;
        for (auto& [name, peer] : shard.peers) {
            if (peer.caught_up && peer.pending_comparison.value == 0) {
                start_comparison(now, shard_id, shard, name);
            }
        }
    }
    std::vector<Name> names;
    names.reserve(shard.peers.size());
    for (const auto& [name, peer] : shard.peers) {
        names.push_back(name);
    }
    for (const Name& name : names) {
        Peer& peer = shard.peers[name];
        if (peer.pending_comparison.value > 0 &&
            now >= peer.comparison_sent_at + settings_.resend_interval) {
            start_comparison(now, shard_id, shard, name);
        } else if (!peer.caught_up && peer.pending_comparison.value == 0) {
            send_repairs(now, shard_id, shard, name);
        }
    }
}

// Stops waiting for members that catch up and have not acknowledged within the lag limit, because
// they would block all writes. They are not replicas yet, and have to catch up on the keys
// concerned.
void Replica::stop_waiting_for_lagging_peers(Seconds now, ShardId shard_id, Shard& shard) {
    for (auto& [number, operation] : operations_.all()) {
        if (operation.shard_id != shard_id || operation.is_repair) {
            continue;
        }
        for (auto wait = operation.awaited.begin(); wait != operation.awaited.end();) {
            Peer& peer = shard.peers[wait->first];
            if (peer.required_for_writes || now < wait->second + settings_.lag_limit) {
                ++wait;
                continue;
            }
            peer.caught_up = false;
            peer.to_send.push_back(operation.key);
            wait = operation.awaited.erase(wait);
        }
    }
}

// Sends the digests of the shard to a member. Replaces a comparison that was not answered.
void Replica::start_comparison(Seconds now, ShardId shard_id, Shard& shard, const Name& name) {
    Peer& peer = shard.peers[name];
    peer.pending_comparison = sent_messages_.add({0, name, now, true, shard_id});
    peer.comparison_sent_at = now;
    host_->send_digests(name, shard_id, shard.replica_set.since_table, peer.pending_comparison,
                        digests_of(shard.records));
    schedule_tick(now + settings_.resend_interval);
}

void Replica::receive_differences(Seconds now, const Name& from, MessageNumber number,
                                  const std::vector<std::size_t>& ranges,
                                  const std::vector<KeyVersion>& key_versions) {
    const SentMessage* const message = sent_messages_.find(from, number);
    if (!message || !message->is_comparison) {
        return;
    }
    const ShardId shard_id = message->shard_id;
    sent_messages_.erase(number);
    const auto it = shards_.find(shard_id);
    if (it == shards_.end() || !it->second.has_primary(self_)) {
        return;
    }
    Shard& shard = it->second;
    const auto peer = shard.peers.find(from);
    if (peer == shard.peers.end() || peer->second.pending_comparison != number) {
        return;
    }
    peer->second.pending_comparison = {};
    std::vector<Key> keys = keys_to_send(shard.records, ranges, key_versions);
    const bool compare_again = overwrite_newer_versions(now, shard_id, shard, key_versions, keys);
    std::deque<Key>& to_send = shard.peers.at(from).to_send;
    to_send.insert(to_send.end(), keys.begin(), keys.end());
    if (compare_again) {
        return start_comparison(now, shard_id, shard, from);
    }
    send_repairs(now, shard_id, shard, from);
}

// A newer version at a backup is a write of an earlier primary that was never acknowledged. It
// would reappear if that backup became the primary, so it is overwritten with this primary's
// version; the keys concerned are added to `keys`. Returns whether such a key has a write in
// progress, in which case the shard has to be compared again.
bool Replica::overwrite_newer_versions(Seconds now, ShardId shard_id, Shard& shard,
                                       const std::vector<KeyVersion>& key_versions,
                                       std::vector<Key>& keys) {
    bool compare_again = false;
    for (const KeyVersion& theirs : key_versions) {
        const auto own = shard.records.find(theirs.key);
        const bool absent = own == shard.records.end();
        if (absent ? theirs.expires_soon : theirs.version <= own->second.version) {
            continue;
        }
        if (shard.active_operations.contains(theirs.key)) {
            compare_again = true;
            continue;
        }
        Record record;
        if (!absent) {
            record = own->second;
        }
        record.key = theirs.key;
        keys.push_back(theirs.key);
        write(now, shard_id, shard, std::move(record), std::nullopt, Reply::stored);
    }
    return compare_again;
}

// Sends a member the records that it lacks, as far as the repair window permits. If it is not a
// replica yet, the repair allowance limits the rate too. The member has caught up once it has
// acknowledged all of them.
void Replica::send_repairs(Seconds now, ShardId shard_id, Shard& shard, const Name& name) {
    Peer& peer = shard.peers.at(name);
    const bool is_rate_limited = !shard.replica_set.has_replica(name);
    while (!peer.to_send.empty() && peer.repairs.size() < settings_.repair_window) {
        if (is_rate_limited && repair_allowance_.is_spent()) {
            schedule_tick(now + settings_.resend_interval / 10);
            return;
        }
        const Key key = peer.to_send.front();
        peer.to_send.pop_front();
        const auto record = shard.records.find(key);
        if (record == shard.records.end()) {
            continue;
        }
        if (is_rate_limited) {
            repair_allowance_.spend(size_of(record->second));
        }
        Operation operation;
        operation.shard_id = shard_id;
        operation.key = key;
        operation.is_repair = true;
        operation.awaited[name] = now;
        peer.repairs.insert(operations_.next_number());
        begin_operation(now, shard, std::move(operation));
    }
    if (!peer.to_send.empty() || !peer.repairs.empty() || peer.pending_comparison.value > 0) {
        return;
    }
    peer.caught_up = true;
    shard.open_if_caught_up();
}

}  // namespace tideline::replication
