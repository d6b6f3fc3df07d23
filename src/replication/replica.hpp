// The shards that one member holds. As a backup, the member stores the records that the primary
// sends. As the primary, it handles the requests of claimants: it executes one write per key at a
// time, and replies only once all replicas have the write on their disks. This is primary-backup
// replication as in "PacificA" (Lin, Yang, Zhang, Zhou, 2008); the replica sets are decided
// elsewhere (repair_coordinator.hpp). The class is single-threaded and neither does I/O nor reads a
// clock: `now` is in seconds of a clock that keeps running while the machine is suspended.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "replication/claimant_request.hpp"
#include "replication/local_writes.hpp"
#include "replication/pending_operations.hpp"
#include "replication/repair_allowance.hpp"
#include "replication/replica_host.hpp"
#include "replication/replica_shard.hpp"
#include "replication/sent_messages.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Settings of a replica, fixed when it is created.
struct ReplicaSettings {
    Seconds time_to_live = 120;          // time to live of a record after its last change
    Seconds bytes_time_to_live = 86400;  // time to live of a record that stores only bytes
    Seconds resend_interval = 0.3;       // interval between two sends of an unacknowledged message
    // A member that has not acknowledged a message for this long is reported as lagging.
    Seconds lag_limit = 1;
    Seconds comparison_interval = 60;  // interval between two comparisons of a shard
    double repair_rate = 2e6;          // bytes per second that are sent to members that catch up
    // Limit of the unacknowledged records to one member that catches up.
    std::size_t repair_window = 64;
    bool operator==(const ReplicaSettings&) const = default;
};

// Contents of the disk when the process started.
struct StoredState {
    std::uint64_t start_count = 1;  // number of times that this disk was opened
    TableVersion table_version;     // version of the newest table that was applied
    std::vector<std::pair<ShardId, Record>> records;  // expires_at is the remaining time to live
    std::set<ShardId> corrupt;                        // shards with an altered row
};

// State machine of one member, as described at the top of this file. The public calls are grouped
// by their caller.
class Replica {
  public:
    // `host` has to outlive the replica.
    Replica(ReplicaHost& host, const ReplicaSettings& settings, const Name& self, const Disk& disk,
            StoredState found, Seconds now);
    // Copies a replica into another simulated world.
    Replica(const Replica& other, ReplicaHost& host);
    Replica(const Replica&) = default;
    ~Replica() = default;
    Replica& operator=(const Replica&) = delete;

    // Ignores a table that is not newer than the known one.
    void apply_table(Seconds now, const ReplicaTable& table);
    // Requests of claimants, answered by ReplicaHost::reply. `known_version` is the version of the
    // record if the claimant knows about the attempts of other claimants. `content` is the digest
    // of the request's content; a claim whose fingerprint was used with other content is answered
    // with key_conflict.
    void claim(Seconds now, const Name& from, RequestNumber number, const Key& key,
               std::uint64_t content, const AttemptRecord& attempt,
               std::optional<Version> known_version);
    void settle(Seconds now, const Name& from, RequestNumber number, const Key& key,
                const AttemptRecord& attempt, const std::string& answer);
    void store_bytes(Seconds now, const Name& from, RequestNumber number, const Key& key,
                     const std::string& bytes);
    void read(Seconds now, const Name& from, RequestNumber number, const Key& key);
    // Messages between a primary and the other members of a shard. `since` is the table version
    // that introduced the sender's replica set.
    void receive_record(Seconds now, const Name& from, ShardId shard_id, TableVersion since,
                        MessageNumber number, const Record* record);
    // Follows an acknowledgement of this member: the acknowledged message was delayed by at most
    // `delay`.
    void receive_delay(const Name& from, ShardId shard_id, const Key& key, MessageNumber number,
                       Seconds delay);
    void on_acknowledged(Seconds now, const Name& from, MessageNumber number);
    void on_refused(Seconds now, const Name& from, MessageNumber number, TableVersion version);
    void receive_digests(Seconds now, const Name& from, ShardId shard_id, TableVersion since,
                         MessageNumber number, const Digests& theirs);
    void receive_differences(Seconds now, const Name& from, MessageNumber number,
                             const std::vector<std::size_t>& ranges,
                             const std::vector<KeyVersion>& key_versions);
    // The disk has completed this write and all earlier ones.
    void on_stored(Seconds now, WriteNumber up_to);
    // A row of the shard was found altered on the disk.
    void mark_corrupt(Seconds now, ShardId shard_id);
    // The owner calls this at the time that due() returns.
    void tick(Seconds now);
    Seconds due() const {
        return due_;
    }

    const ReplicaTable& table() const {
        return table_;
    }
    // Version of the newest table that was ever applied. Older tables are ignored, even after a
    // restart.
    TableVersion newest_table_version() const {
        return newest_table_;
    }
    // Builds the report for the repair coordinator. This changes state: from now on, writes wait
    // for the members that the report names as caught up.
    ReplicaReport report(Seconds now);
    // Returns this member's version of the record, whether acknowledged or not, or null if it has
    // none. For operators and tests.
    const Record* find(const Key& key) const;
    std::size_t records() const;
    bool is_open(ShardId shard_id) const;
    bool is_primary(ShardId shard_id) const;
    // Whether this member holds the shard and has not found it corrupt.
    bool holds(ShardId shard_id) const;
    // Digest of the state for the model checker: worlds with equal texts behave alike.
    std::string state() const;

  private:
    // replica_table.cpp: applies a new table.
    void drop_unassigned_shards(bool own_disk);
    void clear_shard(ShardId shard_id, Shard& shard);
    void assign_shard(Seconds now, ShardId shard_id, const ReplicaSet& replica_set);
    void become_primary(Seconds now, ShardId shard_id, Shard& shard, bool first_assignment);
    void redirect_operations(Seconds now, ShardId shard_id, Shard& shard);
    void abort_operations(ShardId shard_id, Shard& shard);
    void reply_without_record(const Operation& operation, Reply reply);
    void reply_to_queued(Shard& shard, Reply reply);

    // replica_primary.cpp: handles the requests of claimants.
    void handle_request(Seconds now, ClaimantRequest request);
    void serve_request(Seconds now, ShardId shard_id, Shard& shard, const ClaimantRequest& request);
    void serve_queued_requests(Seconds now, ShardId shard_id, const Key& key);

    // replica_operations.cpp: writes records, and waits for the acknowledgements of the replicas.
    void store_record(ShardId shard_id, Shard& shard, const Record& record);
    void write(Seconds now, ShardId shard_id, Shard& shard, Record record,
               std::optional<ReplyTarget> claimant, Reply reply);
    void confirm_record(Seconds now, ShardId shard_id, Shard& shard, const ClaimantRequest& request,
                        Reply reply);
    void begin_operation(Seconds now, Shard& shard, Operation operation);
    void send_operation(Seconds now, OperationNumber number, Operation& operation);
    void send_measured_delay(const Operation& operation, const Name& to, MessageNumber number,
                             Seconds delay);
    void finish_operation(Seconds now, OperationNumber number);
    void finish_operations(Seconds now, const std::vector<OperationNumber>& numbers);

    // replica_catch_up.cpp: compares a shard with its other members and repairs them.
    void start_comparison(Seconds now, ShardId shard_id, Shard& shard, const Name& name);
    bool overwrite_newer_versions(Seconds now, ShardId shard_id, Shard& shard,
                                  const std::vector<KeyVersion>& key_versions,
                                  std::vector<Key>& keys);
    void send_repairs(Seconds now, ShardId shard_id, Shard& shard, const Name& name);
    void compare_and_repair_peers(Seconds now, ShardId shard_id, Shard& shard);
    void stop_waiting_for_lagging_peers(Seconds now, ShardId shard_id, Shard& shard);

    // replica_backup.cpp: handles the messages of a primary.
    Shard* shard_of_primary(const Name& from, ShardId shard_id, TableVersion since,
                            MessageNumber number);

    // replica_expiry.cpp: drops records.
    void drop_records_if(ShardId shard_id, Shard& shard,
                         const std::function<bool(const Record&)>& is_dropped);
    void drop_expired_records(Seconds now);

    void resend_overdue(Seconds now);
    void notify_waiting_claimants(const std::vector<OperationNumber>& overdue);
    bool is_waiting_for_members() const;
    void schedule_tick(Seconds when) {
        due_ = std::min(due_, when);
    }

    ReplicaHost* host_;
    ReplicaSettings settings_;
    Name self_;
    Disk disk_;
    std::uint64_t start_count_;
    // Newest table that this process has applied; version 0 before the first one.
    ReplicaTable table_;
    // Version of the newest table that was ever applied on this disk. Older tables are ignored.
    TableVersion newest_table_;
    // The shards that `table_` assigns to this disk. Before the first table: the shards found on
    // the disk.
    std::map<ShardId, Shard> shards_;
    // Each operation belongs to a shard in `shards_`.
    PendingOperations operations_;
    SentMessages sent_messages_;
    LocalWrites local_writes_;
    RepairAllowance repair_allowance_;
    // Step of the newest version that this primary has assigned. Each start of the process uses a
    // range of its own, above the ranges of all earlier starts.
    std::uint64_t last_step_;
    Seconds due_ = 0;
    Seconds expiry_checked_at_ = 0;
};

}  // namespace tideline::replication
