// Effects of a replica, and its replies to claimants.
#pragma once

#include <string>
#include <vector>

#include "replication/types.hpp"

namespace tideline::replication {

// The reply of a primary to a claimant.
enum class Reply {
    granted,       // the attempt is stored on all replicas: it may go out
    running,       // an attempt of another claimant is in flight
    uncertain,     // attempts of others may have run; a claimant that names this version may claim
                   // another beside them
    answered,      // an attempt ran, with this answer
    stored,        // the outcome, or the bytes, are stored on all replicas
    record_read,   // a read: the record as all replicas have it
    try_again,     // this primary can't answer yet
    not_primary,   // another member is: ask the primary of a newer table
    data_lost,     // all replicas were lost: whether it ran can't be known
    key_conflict,  // the fingerprint was used before, for a request with other content
};

// Implemented by whoever runs the replica. Calls return at once, and never call back into the
// replica.
class ReplicaHost {
  public:
    virtual ~ReplicaHost() = default;
    // Writes to the disk, in the order of the calls. Replica::on_stored acknowledges them.
    virtual void store(WriteNumber number, ShardId shard_id, const Record& record) = 0;
    virtual void store_removal(WriteNumber number, ShardId shard_id,
                               const std::vector<Key>& keys) = 0;
    // Drops all of the shard, also rows that can't be read.
    virtual void store_shard_removal(WriteNumber number, ShardId shard_id) = 0;
    virtual void store_table_version(WriteNumber number, TableVersion version) = 0;
    // To a replica. Without a record: asks whether it still follows this primary.
    virtual void send_record(const Name& to, ShardId shard_id, TableVersion since,
                             MessageNumber number, const Record* record) = 0;
    virtual void acknowledge(const Name& to, MessageNumber number) = 0;
    // To a replica that has acknowledged a record: its message took at most so many seconds.
    virtual void send_delay(const Name& to, ShardId shard_id, const Key& key, MessageNumber number,
                            Seconds delay) = 0;
    virtual void refuse(const Name& to, MessageNumber number, TableVersion version) = 0;
    virtual void send_digests(const Name& to, ShardId shard_id, TableVersion since,
                              MessageNumber number, const Digests& digests) = 0;
    virtual void send_differences(const Name& to, MessageNumber number,
                                  const std::vector<std::size_t>& ranges,
                                  const std::vector<KeyVersion>& key_versions) = 0;
    // To a claimant. `version`: of this member's table. `record`: null where it has none, or where
    // it isn't the primary.
    virtual void reply(const Name& to, RequestNumber number, Reply reply, TableVersion version,
                       const Record* record) = 0;
    // To a claimant whose request waits for another replica: it will be answered once that is
    // stored, and this primary is not silent meanwhile.
    virtual void reply_later(const Name& to, RequestNumber number, TableVersion version) = 0;
    // Asks the planners for a table that is no older than `least`.
    virtual void request_table(TableVersion least) = 0;
    virtual void log_alarm(const std::string& text) = 0;
};

}  // namespace tideline::replication
