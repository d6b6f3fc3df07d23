// Writes to this member's disk: their numbers, how far the disk has them, and the answers to
// primaries that wait for that.
#pragma once

#include <map>
#include <vector>

#include "replication/replica_host.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// One thread; no I/O: the host writes, in the order of the calls.
class LocalWrites {
  public:
    void store(ReplicaHost& host, ShardId shard_id, const Record& record);
    void store_removal(ReplicaHost& host, ShardId shard_id, const std::vector<Key>& keys);
    void store_shard_removal(ReplicaHost& host, ShardId shard_id);
    void store_table_version(ReplicaHost& host, TableVersion version);

    // Answers of a backup to its primary. They count as stored, so they go out only once the disk
    // has all that was written before.
    void acknowledge_when_stored(ReplicaHost& host, const Name& to, MessageNumber number);
    void send_differences_when_stored(ReplicaHost& host, const Name& to, MessageNumber number,
                                      std::vector<std::size_t> ranges,
                                      std::vector<KeyVersion> key_versions);
    // The disk has this write and all before it. Sends the answers that waited for them.
    void on_stored(ReplicaHost& host, WriteNumber up_to);

    WriteNumber last_write() const {
        return last_write_;
    }
    bool is_stored(WriteNumber number) const {
        return number <= stored_write_;
    }
    // Writes that the disk has not acknowledged.
    std::uint64_t unstored_count() const {
        return last_write_.value - stored_write_.value;
    }
    std::size_t pending_answer_count() const {
        return pending_answers_.size();
    }

  private:
    struct PendingAnswer {
        Name to;
        MessageNumber number;
        // An answer to digests; otherwise an acknowledgement, without the two lists.
        bool has_differences = false;
        std::vector<std::size_t> ranges;
        std::vector<KeyVersion> key_versions;
    };

    WriteNumber take_next_number();
    void answer_when_stored(ReplicaHost& host, PendingAnswer answer);
    void send_stored_answers(ReplicaHost& host);

    // Rises by one with each write. 0: none yet.
    WriteNumber last_write_;
    // The disk has this and all before it; never above `last_write_`.
    WriteNumber stored_write_;
    // By the last write before the answer; each is above `stored_write_`, or sent at once.
    std::multimap<WriteNumber, PendingAnswer> pending_answers_;
};

}  // namespace tideline::replication
