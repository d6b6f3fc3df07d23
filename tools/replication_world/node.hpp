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

// A member. The host of its state machines: what they send goes to the world, and what they write
// is held back until complete_writes.
class ReplicationWorld::Node : public MessageSender, public RepairCoordinatorHost {
  public:
    // A client's request that has not ended.
    struct ClientRequest {
        GuardedRequest guarded;
        std::set<EffectOwner> known_owners;  // whose attempts the decision module knows of
        int attempts = 0;
    };
    // A write that is not on the disk yet.
    struct PendingWrite {
        WriteNumber write;
        ShardId shard_id;
        std::optional<Record> record;
        std::vector<Key> removed;
        TableVersion table_version;
        bool clears_shard = false;
    };
    Node(ReplicationWorld& world, int index);
    Node(const Node& other, ReplicationWorld& world);
    Name name() const;
    bool up() const;
    // Starts the state machines from what is on the disk, under the next incarnation.
    void start();
    // Loses the state machines, every pending write and the clients' requests.
    void crash();
    // Erases the disk; only while the member is down.
    void wipe();
    // Corrupts what is on the disk of the shard; only while the member is down.
    void corrupt_shard(ShardId shard_id);
    // Applies the pending writes to the disk.
    void complete_writes();
    bool has_pending_writes() const;

    // A client's request, which ends by that time.
    void submit(std::uint64_t operation, bool idempotent, Seconds ends);
    // Stands in for the decision module: makes one attempt if the effect log clears it.
    void attempt(RequestId id, ClientRequest& request);
    // An attempt was answered or lost.
    void on_attempt_ended(const AttemptInFlight& attempt, AttemptOutcome outcome);
    // The answer that every endpoint gives to the request with this key.
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

    // Handles a message that reached this member, which must be up.
    void handle_message(int from, const std::string& bytes);
    // Whether the member believes that it holds the lease of the repair coordinator.
    void set_holds_lease(bool holds);
    // The state that later events depend on, as text.
    std::string state() const;
    // Where the record of the key is at this member, for the report of a violation.
    std::string describe(const Key& key, const ReplicaTable& table) const;
    // Whether the record is on a disk that the table counts on, and readable.
    bool on_disk(const Key& key, const ReplicaTable& table) const;
    std::uint64_t incarnation() const;
    std::size_t open_requests() const;

    // The state machines; none while the member is down.
    std::unique_ptr<Replica> replica;
    std::unique_ptr<EffectLogClient> effect_log;
    std::unique_ptr<RepairCoordinator> repair_coordinator;

  private:
    void handle_table(const std::string& bytes);
    void finish_request(RequestId request, RequestResult result);

    ReplicationWorld* world_;
    const int index_;
    Disk disk_;
    std::uint64_t starts_ = 0;
    TableVersion table_version_;
    std::map<Key, std::pair<ShardId, Record>> stored_records_;
    std::set<ShardId> corrupt_;
    std::deque<PendingWrite> pending_writes_;
    WriteNumber last_write_;
    std::map<RequestId, ClientRequest> requests_;
    std::uint64_t last_request_ = 0;
    std::uint64_t incarnation_ = 0;
};

}  // namespace tideline::simulation
