// Interface through which a replica acts on its environment, and its replies to claimants.
#pragma once

#include <string>
#include <vector>

#include "replication/types.hpp"

namespace tideline::replication {

// Reply of a primary to a claimant, a sidecar that asks to send an attempt.
enum class Reply {
    granted,  // the attempt is stored on all replicas: it may be sent
    running,  // an attempt of another claimant is in flight
    // Attempts of other claimants may have run. A claimant that quotes the version of this record
    // may claim another attempt in spite of them.
    uncertain,
    answered,     // an attempt has run; the record has its answer
    stored,       // the outcome or the bytes are stored on all replicas
    record_read,  // reply to a read: the record, confirmed by all replicas
    try_again,    // the primary can't decide yet: the claimant should resend the request
    // This member is not the primary of the key: the claimant needs a newer table.
    not_primary,
    data_lost,     // all replicas were lost: it is unknown whether the request has run
    key_conflict,  // the fingerprint was used before by a request with other content
};

// Implemented by the owner of the replica. The calls return at once and never call back into the
// replica.
class ReplicaHost {
  public:
    virtual ~ReplicaHost() = default;
    // These calls write to the disk, in the order in which they are made. The host reports
    // completion by Replica::on_stored.
    virtual void store(WriteNumber number, ShardId shard_id, const Record& record) = 0;
    virtual void store_removal(WriteNumber number, ShardId shard_id,
                               const std::vector<Key>& keys) = 0;
    // Drops all rows of the shard, including rows that can't be read.
    virtual void store_shard_removal(WriteNumber number, ShardId shard_id) = 0;
    virtual void store_table_version(WriteNumber number, TableVersion version) = 0;
    // Sends a record to a replica. If `record` is null, asks the replica to confirm that it still
    // accepts this primary.
    virtual void send_record(const Name& to, ShardId shard_id, TableVersion since,
                             MessageNumber number, const Record* record) = 0;
    virtual void acknowledge(const Name& to, MessageNumber number) = 0;
    // Tells a replica that has acknowledged a record that the message with it was delayed by at
    // most `delay`.
    virtual void send_delay(const Name& to, ShardId shard_id, const Key& key, MessageNumber number,
                            Seconds delay) = 0;
    virtual void refuse(const Name& to, MessageNumber number, TableVersion version) = 0;
    virtual void send_digests(const Name& to, ShardId shard_id, TableVersion since,
                              MessageNumber number, const Digests& digests) = 0;
    virtual void send_differences(const Name& to, MessageNumber number,
                                  const std::vector<std::size_t>& ranges,
                                  const std::vector<KeyVersion>& key_versions) = 0;
    // Replies to a claimant. `version` is the version of this member's table. `record` is null if
    // there is no record, or if this member is not the primary.
    virtual void reply(const Name& to, RequestNumber number, Reply reply, TableVersion version,
                       const Record* record) = 0;
    // Tells a claimant that its request waits for another replica: the reply follows once that
    // replica has stored the record. Without this message the claimant would report the primary as
    // silent.
    virtual void reply_later(const Name& to, RequestNumber number, TableVersion version) = 0;
    // Asks the planners for a table whose version is at least `least`.
    virtual void request_table(TableVersion least) = 0;
    virtual void log_alarm(const std::string& text) = 0;
};

}  // namespace tideline::replication
