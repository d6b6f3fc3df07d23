// The shards that one member holds. As a backup it stores what a primary sends. As a primary it
// answers claimants, one write of a key at a time, and only once all replicas have it on their
// disks. Primary-backup replication after "PacificA" (Lin, Yang, Zhang, Zhou, 2008); the replica
// sets are agreed on elsewhere (repair_coordinator.hpp). One thread; no I/O and no clock: `now` is
// in seconds of a clock that goes on while the machine sleeps.
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

// Settings, fixed at the start.
struct ReplicaSettings {
    Seconds time_to_live = 120;          // time to live of a record after its last change
    Seconds bytes_time_to_live = 86400;  // the same, of bytes
    Seconds resend_interval = 0.3;       // interval of resending what is not acknowledged
    Seconds lag_limit = 1;  // a replica that acknowledges nothing for so long is reported
    Seconds comparison_interval = 60;  // interval of comparing a shard with its replicas
    double repair_rate = 2e6;          // bytes a second sent to members that catch up
    std::size_t repair_window = 64;    // records in flight to one member that catches up
    bool operator==(const ReplicaSettings&) const = default;
};

// What a disk held when the process started.
struct StoredState {
    std::uint64_t start_count = 1;                    // how often this disk was opened
    TableVersion table_version;                       // of the newest table that was applied
    std::vector<std::pair<ShardId, Record>> records;  // expires_at: seconds left, from now
    std::set<ShardId> corrupt;                        // a row of these was altered
};

// State machine of one member; see the top of the file. Its calls are grouped by their caller.
class Replica {
  public:
    // `host` outlives this.
    Replica(ReplicaHost& host, const ReplicaSettings& settings, const Name& self, const Disk& disk,
            StoredState found, Seconds now);
    // A copy for another simulated world.
    Replica(const Replica& other, ReplicaHost& host);
    Replica(const Replica&) = default;
    ~Replica() = default;
    Replica& operator=(const Replica&) = delete;

    // Ignores a table that is not newer than the known one.
    void apply_table(Seconds now, const ReplicaTable& table);
    // Requests of claimants, answered by ReplicaHost::reply. `known_version`: of the record, where
    // the claimant knows of attempts of others. `content`: digest of the request's content; a
    // fingerprint with other content is answered with key_conflict.
    void claim(Seconds now, const Name& from, RequestNumber number, const Key& key,
               std::uint64_t content, const AttemptRecord& attempt,
               std::optional<Version> known_version);
    void settle(Seconds now, const Name& from, RequestNumber number, const Key& key,
                const AttemptRecord& attempt, const std::string& answer);
    void store_bytes(Seconds now, const Name& from, RequestNumber number, const Key& key,
                     const std::string& bytes);
    void read(Seconds now, const Name& from, RequestNumber number, const Key& key);
    // Between a primary and its replicas. `since`: the table that set the sender's replica set.
    void receive_record(Seconds now, const Name& from, ShardId shard_id, TableVersion since,
                        MessageNumber number, const Record* record);
    // After an acknowledgement: the primary's message had arrived within `delay` seconds.
    void receive_delay(const Name& from, ShardId shard_id, const Key& key, MessageNumber number,
                       Seconds delay);
    void on_acknowledged(Seconds now, const Name& from, MessageNumber number);
    void on_refused(Seconds now, const Name& from, MessageNumber number, TableVersion version);
    void receive_digests(Seconds now, const Name& from, ShardId shard_id, TableVersion since,
                         MessageNumber number, const Digests& theirs);
    void receive_differences(Seconds now, const Name& from, MessageNumber number,
                             const std::vector<std::size_t>& ranges,
                             const std::vector<KeyVersion>& key_versions);
    // The disk has this write and all before it.
    void on_stored(Seconds now, WriteNumber up_to);
    // A row of the shard was found altered on the disk.
    void mark_corrupt(Seconds now, ShardId shard_id);
    // To be called at due().
    void tick(Seconds now);
    Seconds due() const {
        return due_;
    }

    const ReplicaTable& table() const {
        return table_;
    }
    // No older table is applied, also after a restart.
    TableVersion newest_table_seen() const {
        return newest_table_;
    }
    // Changes state: writes wait from then on for the members that it names as caught up.
    ReplicaReport report(Seconds now);
    // As this member has it, acknowledged or not; for operators and tests. Null where it has none.
    const Record* find(const Key& key) const;
    std::size_t records() const;
    bool is_open(ShardId shard_id) const;
    bool is_primary(ShardId shard_id) const;
    // Held, and not corrupt.
    bool holds(ShardId shard_id) const;
    // Digest of the state, for the model checker: worlds with equal texts behave alike.
    std::string state() const;

  private:
    // replica_table.cpp: what a new table changes.
    void drop_unassigned_shards(bool own_disk);
    void clear_shard(ShardId shard_id, Shard& shard);
    void assign_shard(Seconds now, ShardId shard_id, const ReplicaSet& replica_set);
    void become_primary(Seconds now, ShardId shard_id, Shard& shard, bool anew);
    void redirect_operations(Seconds now, ShardId shard_id, Shard& shard);
    void abort_operations(ShardId shard_id, Shard& shard);
    void reply_without_record(const Operation& operation, Reply reply);
    void reply_to_queued(Shard& shard, Reply reply);

    // replica_primary.cpp: requests of claimants.
    void handle_request(Seconds now, ClaimantRequest request);
    void serve_request(Seconds now, ShardId shard_id, Shard& shard, const ClaimantRequest& request);
    void serve_queued_requests(Seconds now, ShardId shard_id, const Key& key);

    // replica_operations.cpp: writes, and operations that wait for acknowledgements.
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

    // replica_catch_up.cpp: comparison with the other members of a shard, and repair.
    void start_comparison(Seconds now, ShardId shard_id, Shard& shard, const Name& name);
    bool overwrite_newer_versions(Seconds now, ShardId shard_id, Shard& shard,
                                  const std::vector<KeyVersion>& key_versions,
                                  std::vector<Key>& keys);
    void send_repairs(Seconds now, ShardId shard_id, Shard& shard, const Name& name);
    void compare_and_repair_peers(Seconds now, ShardId shard_id, Shard& shard);
    void stop_waiting_for_lagging_peers(Seconds now, ShardId shard_id, Shard& shard);

    // replica_backup.cpp: messages of a primary.
    Shard* shard_of_primary(const Name& from, ShardId shard_id, TableVersion since,
                            MessageNumber number);

    // replica_expiry.cpp
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
    // The newest table that was applied by this process; version 0 before the first.
    ReplicaTable table_;
    // Version of the newest table that was ever applied on this disk: no older one is acted on.
    TableVersion newest_table_;
    // Those that `table_` places on this disk; before the first table, those that the disk had.
    std::map<ShardId, Shard> shards_;
    // Each is of a shard in `shards_`.
    PendingOperations operations_;
    SentMessages sent_messages_;
    LocalWrites local_writes_;
    RepairAllowance repair_allowance_;
    // Step of the newest version that this primary gave to a record. Each start has a range of its
    // own, above those of all former ones.
    std::uint64_t last_step_;
    Seconds due_ = 0;
    Seconds expiry_checked_at_ = 0;
};

}  // namespace tideline::replication
