// Writes to this member's disk: assigns their numbers, tracks which of them the disk has completed,
// and holds back the answers to primaries that depend on them.
#pragma once

#include <map>
#include <vector>

#include "replication/replica_host.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Single-threaded and without I/O of its own: the host executes the writes in the order of the
// calls.
class LocalWrites {
  public:
    void store(ReplicaHost& host, ShardId shard_id, const Record& record);
    void store_removal(ReplicaHost& host, ShardId shard_id, const std::vector<Key>& keys);
    void store_shard_removal(ReplicaHost& host, ShardId shard_id);
    void store_table_version(ReplicaHost& host, TableVersion version);

    // These functions send the answers of a backup to its primary. An answer states that everything
    // before it is stored, so it is sent only once the disk has completed all earlier writes.
    void acknowledge_when_stored(ReplicaHost& host, const Name& to, MessageNumber number);
    void send_differences_when_stored(ReplicaHost& host, const Name& to, MessageNumber number,
                                      std::vector<std::size_t> ranges,
                                      std::vector<KeyVersion> key_versions);
    // The disk has completed this write and all earlier ones. Sends the answers that waited for
    // them.
    void on_stored(ReplicaHost& host, WriteNumber up_to);

    WriteNumber last_write() const {
        return last_write_;
    }
    bool is_stored(WriteNumber number) const {
        return number <= stored_write_;
    }
    // Number of writes that the disk has not completed.
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
        // True for an answer to digests. Otherwise the answer is an acknowledgement, and both lists
        // are empty.
        bool has_differences = false;
        std::vector<std::size_t> ranges;
        std::vector<KeyVersion> key_versions;
    };

    WriteNumber take_next_number();
    void answer_when_stored(ReplicaHost& host, PendingAnswer answer);
    void send_stored_answers(ReplicaHost& host);

    // Increases by one with each write. 0: none yet.
    WriteNumber last_write_;
    // The disk has completed this write and all earlier ones; never above `last_write_`.
    WriteNumber stored_write_;
    // Key: the last write before the answer. All keys are above `stored_write_`, because other
    // answers are sent at once.
    std::multimap<WriteNumber, PendingAnswer> pending_answers_;
};

}  // namespace tideline::replication
