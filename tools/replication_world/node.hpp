// One member of the simulated world: its state machines, its disk and its clients' requests.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "replication_world/world.hpp"

namespace tideline::simulation {

using namespace replication;

// A member, which is the host of its state machines. It passes their messages to the world and
// holds back their writes until complete_writes() is called.
class ReplicationWorld::Node : public MessageSender, public RepairCoordinatorHost {
  public:
    // A client's request that has not ended.
    struct ClientRequest {
        GuardedRequest guarded;
        std::set<EffectOwner> known_owners;  // owners of the attempts that the member knows of
        int attempts = 0;
    };
    // A write that is not on the disk yet.
    struct PendingWrite {
        WriteNumber write;
        ShardId shard_id;
        std::optional<Record> record;
        std::vector<Key> removed_keys;
        TableVersion table_version;
        bool clears_shard = false;
    };
    Node(ReplicationWorld& world, int index);
    Node(const Node& other, ReplicationWorld& world);
    Name name() const;
    bool up() const;
    // Starts the state machines from the state on the disk, under the next incarnation.
    void start();
    // Discards the state machines, every pending write and the clients' requests.
    void crash();
    // Erases the disk. Call this only while the member is down.
    void wipe();
    // Corrupts the shard's records on the disk. Call this only while the member is down.
    void corrupt_shard(ShardId shard_id);
    // Applies the pending writes to the disk.
    void complete_writes();
    bool has_pending_writes() const;

    // Starts a client's request.
    void submit(std::uint64_t operation, bool idempotent, Seconds deadline);
    // Makes one attempt if the effect log clears it. The simulated member has no routing policy.
    void start_attempt(RequestId id, ClientRequest& request);
    // Handles the end of an attempt, which was answered or lost.
    void on_attempt_ended(const AttemptInFlight& attempt, AttemptOutcome outcome);
    // Returns the answer that every endpoint gives to the request with this key.
    static std::string answer_of(const Key& key);

    // ReplicaHost
    void store(WriteNumber write, ShardId shard_id, const Record& record) override;
    void store_removal(WriteNumber write, ShardId, const std::vector<Key>& keys) override;
    void store_shard_removal(WriteNumber write, ShardId shard_id) override;
    void store_table_version(WriteNumber write, TableVersion version) override;
    void request_table(TableVersion) override;
    void log_alarm(const std::string&) override {}
    void reply(const Name& to, RequestNumber number, Reply kind, TableVersion version,
               const Record* record) override;
    // EffectLogClientHost
    void on_cleared(RequestId request, AttemptNumber attempt_number) override;
    void on_rejected(RequestId request, Seconds) override;
    void on_deferred(RequestId) override {}
    void on_answer_found(RequestId request, const std::string& answer) override;
    void on_returned_to_policy(RequestId request,
                               const std::vector<AttemptRecord>& earlier) override;
    void on_effect_unknown(RequestId request) override;
    void on_record_read(const Key&, const Record*) override {}
    void on_alarm(const std::string&) override {}
    // RepairCoordinatorHost
    void propose(const ReplicaTable& table) override;
    void request_reports() override;
    void on_member_excluded(const Exclusion&) override {}
    void raise_alarm(const std::string&, const std::string&) override {}
    void clear_alarm(const std::string&) override {}
    // MessageSender
    void post(const Name& to, const wire::Holding& message) override;
    Seconds time() const override;

    // Handles a message that reached this member. The member must be up.
    void handle_message(int from, const std::string& bytes);
    // Sets whether the member assumes that it holds the repair coordinator's lease.
    void set_holds_lease(bool holds);
    // Returns the state that later events depend on, as text.
    std::string state() const;
    // Describes where this member has the record of the key, for the description of a violation.
    std::string describe_record(const Key& key, const ReplicaTable& table) const;
    // Returns whether the record is on this member's disk, readable, and the table names that disk.
    bool has_record_on_disk(const Key& key, const ReplicaTable& table) const;
    std::uint64_t incarnation() const;
    std::size_t open_requests() const;

    // The state machines; null while the member is down.
    std::unique_ptr<Replica> replica;
    std::unique_ptr<EffectLogClient> effect_log;
    std::unique_ptr<RepairCoordinator> repair_coordinator;

  private:
    void handle_table(const std::string& bytes);
    void finish_request(RequestId request, RequestResult result);

    ReplicationWorld* world_;
    const int index_;
    Disk disk_;
    std::uint64_t start_count_ = 0;
    TableVersion table_version_;
    std::map<Key, std::pair<ShardId, Record>> stored_records_;
    std::set<ShardId> corrupt_shards_;
    std::deque<PendingWrite> pending_writes_;
    WriteNumber last_write_;
    std::map<RequestId, ClientRequest> requests_;
    std::uint64_t last_request_id_ = 0;
    std::uint64_t incarnation_ = 0;
};

}  // namespace tideline::simulation
