#include "replication/local_writes.hpp"

#include <algorithm>
#include <utility>

namespace tideline::replication {

void LocalWrites::store(ReplicaHost& host, ShardId shard_id, const Record& record) {
    host.store(take_next_number(), shard_id, record);
}

void LocalWrites::store_removal(ReplicaHost& host, ShardId shard_id, const std::vector<Key>& keys) {
    host.store_removal(take_next_number(), shard_id, keys);
}

void LocalWrites::store_shard_removal(ReplicaHost& host, ShardId shard_id) {
    host.store_shard_removal(take_next_number(), shard_id);
}

void LocalWrites::store_table_version(ReplicaHost& host, TableVersion version) {
    host.store_table_version(take_next_number(), version);
}

void LocalWrites::acknowledge_when_stored(ReplicaHost& host, const Name& to, MessageNumber number) {
    answer_when_stored(host, {to, number, false, {}, {}});
}

void LocalWrites::send_differences_when_stored(ReplicaHost& host, const Name& to,
                                               MessageNumber number,
                                               std::vector<std::size_t> ranges,
                                               std::vector<KeyVersion> key_versions) {
    answer_when_stored(host, {to, number, true, std::move(ranges), std::move(key_versions)});
}

void LocalWrites::on_stored(ReplicaHost& host, WriteNumber up_to) {
    stored_write_ = std::max(stored_write_, up_to);
    send_stored_answers(host);
}

WriteNumber LocalWrites::take_next_number() {
    last_write_.value += 1;
    return last_write_;
}

void LocalWrites::answer_when_stored(ReplicaHost& host, PendingAnswer answer) {
    pending_answers_.emplace(last_write_, std::move(answer));
    send_stored_answers(host);
}

void LocalWrites::send_stored_answers(ReplicaHost& host) {
    while (!pending_answers_.empty() && pending_answers_.begin()->first <= stored_write_) {
        const PendingAnswer answer = std::move(pending_answers_.begin()->second);
        pending_answers_.erase(pending_answers_.begin());
        if (answer.has_differences) {
            host.send_differences(answer.to, answer.number, answer.ranges, answer.key_versions);
        } else {
            host.acknowledge(answer.to, answer.number);
        }
    }
}

}  // namespace tideline::replication
