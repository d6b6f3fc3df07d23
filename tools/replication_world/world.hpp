// A simulated cluster with replication. Members run the production codec and state machines
// (replica, effect log client, repair coordinator). A crash loses the writes that are not on the
// disk yet, the world counts the effects at the endpoints, and clients retry through other members.
// A single register stands in for the planners; messages to it may be late or lost. Consensus
// itself is checked in PlannerWorld. The world uses no sockets and no real clock. A world can be
// copied so that a search can try every order of events.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "replication/message_codec.hpp"
#include "replication/repair_coordinator.hpp"

namespace tideline::simulation {

using cluster::Name;
using replication::Key;
using replication::ShardId;

// The size of a world and the settings of the state machines in it.
struct ReplicationWorldSettings {
    int members = 3;
    int places = 3;  // failure domains, to which the members are assigned in turn
    replication::ReplicaSettings replica;
    replication::EffectLogClientSettings effect_log;
    replication::RepairSettings repair_coordinator;
    bool replication = true;  // false: attempts are sent without a claim in the effect log
    bool reports = true;      // false: the repair coordinator gets reports through report() only
};

// The types of the messages in a world.
constexpr char kTableMessage = 'T';         // from the planners: the committed table
constexpr char kTableRequestMessage = 'W';  // to the planners: a request for the table
constexpr char kProposalMessage = 'P';      // to the planners: a proposed table
constexpr char kRejectionMessage = 'R';     // from the planners: a proposal was rejected
constexpr char kReplicationMessage = 'H';   // between members: a serialized wire::Holding

// A message between two nodes. Node indices count from 0: first the members, then the register that
// stands in for the planners.
struct WorldMessage {
    int from = 0;
    int to = 0;
    std::string bytes;  // the type of the message, then its content
    bool operator<(const WorldMessage& other) const {
        return std::tie(from, to, bytes) < std::tie(other.from, other.to, other.bytes);
    }
};

// An attempt that was sent to an endpoint and has neither run nor been lost yet.
struct AttemptInFlight {
    int node = 0;                   // index of the sender
    std::uint64_t incarnation = 0;  // of the sender
    RequestId request;
    AttemptNumber number;
    Key key;
    bool idempotent = false;
};

// The result of a request for its client; open if the request has not ended.
enum class RequestResult { open, succeeded, answered_from_record, rejected, failed, lost };

// Members with their disks, messages and clients. Violations of the invariants are detected as
// events happen; fault() returns the first one.
class ReplicationWorld {
  public:
    explicit ReplicationWorld(const ReplicationWorldSettings& settings);
    ReplicationWorld(const ReplicationWorld& other);
    ReplicationWorld& operator=(const ReplicationWorld&) = delete;
    ~ReplicationWorld();

    // Events.

    // Sets the time, in seconds, which must not decrease.
    void set_time(Seconds now) {
        now_ = now;
    }
    // Delivers a message to a node; a node that is down ignores it.
    void deliver(const WorldMessage& message, int to);
    // Stores all pending writes of a node.
    void complete_writes(int node);
    // Executes the actions that are due at a node.
    void tick(int node);
    // Stops a node, whose pending writes and clients' requests are lost.
    void crash(int node);
    // Starts a node that is down.
    void start(int node);
    // Erases the disk of a node that is down.
    void wipe(int node);
    // Corrupts the shard's records on the disk of a node that is down.
    void corrupt_shard(int node, ShardId shard_id);
    // Sets whether the node assumes that it holds the repair coordinator's lease.
    void set_holds_lease(int node, bool holds);
    // Notifies `node` that `member` is present in the membership, or gone.
    void notify_membership(int node, int member, bool gone);
    // Delivers the node's report to the repair coordinator immediately.
    void report(int node, int repair_coordinator);
    // Lets the repair coordinator plan the shard table now.
    void plan(int repair_coordinator);
    // Sets the table as if the planners had committed it and all members had received it.
    void set_agreed_table(const replication::ReplicaTable& table);
    // Lets the node request the table from the planners, as each node does periodically.
    void request_table(int node);
    // Executes an operator's command at `node` that removes `member`.
    void remove_member(int node, int member);
    // Submits a client's request to the node. Returns false if the node is down.
    bool submit(int node, std::uint64_t operation, bool idempotent, Seconds deadline);
    // Lets the attempt with this index in attempts_in_flight() run at its endpoint and be answered.
    void run_attempt(std::size_t index);
    // Lets the attempt with this index get no answer. If `ran` is false, it is known not to have
    // run.
    void lose_attempt(std::size_t index, bool ran);

    // State.

    // Returns whether a client's request at the node has not ended.
    bool has_open_request(int node) const;
    Seconds now() const {
        return now_;
    }
    int members() const {
        return settings_.members;
    }
    int nodes() const {
        return settings_.members + 1;
    }
    // Returns the number of nodes with a disk; they come first in the order of the indices.
    int disks() const {
        return settings_.members;
    }
    bool up(int node) const;
    // Returns the time at which tick() is due for the node; infinity while it is down.
    Seconds due(int node) const;
    bool has_pending_writes(int node) const;
    const std::vector<AttemptInFlight>& attempts_in_flight() const {
        return attempts_in_flight_;
    }
    // Returns the messages sent since the last call.
    std::vector<WorldMessage> take_sent() {
        return std::exchange(sent_, {});
    }
    // Return the state machines of a node; null while it is down.
    const replication::Replica* replica(int node) const;
    const replication::EffectLogClient* effect_log(int node) const;
    const replication::RepairCoordinator* repair_coordinator_of(int node) const;
    // Returns the table that the planners committed last.
    const replication::ReplicaTable& agreed() const {
        return agreed_table_;
    }
    // Returns whether every shard has its full number of replicas in different places, an open
    // primary, and no replica that is still catching up.
    bool fully_replicated() const;
    // Returns a description of the first violation of an invariant; empty if there was none.
    const std::string& fault() const {
        return fault_;
    }
    // Returns a description of each acknowledged record that a replica lacks. Only meaningful while
    // no messages or writes are in flight.
    std::vector<std::string> missing_records() const;
    // Returns the number of requests at all nodes that have not ended.
    std::size_t open_requests() const;
    // Returns the state that later events depend on, as text.
    std::string state() const;
    static Name name_of(int node) {
        return Name{"n" + std::to_string(node + 1)};
    }
    static Key key_of(std::uint64_t operation) {
        return {{operation * 0x9e3779b97f4a7c15ULL, operation}};
    }

    // Totals.

    std::map<RequestResult, std::uint64_t> results;
    std::uint64_t effects = 0;
    std::uint64_t repeated_effects = 0;
    std::uint64_t granted_attempts = 0;
    std::uint64_t returned_requests = 0;
    // Returns the number of keys that have an acknowledged record.
    std::size_t acknowledged() const {
        return acknowledgements_.size();
    }

  private:
    class Node;
    friend class Node;
    struct Acknowledgement {
        bool sent = false;
        bool answered = false;
    };
    void record_violation(const std::string& text);
    void check_acknowledged();
    AttemptInFlight take_attempt(std::size_t index);
    void record_effect(const AttemptInFlight& attempt);
    void end_attempt(const AttemptInFlight& attempt, replication::AttemptOutcome outcome);
    void send(int from, int to, std::string bytes);
    void count_result(int node, RequestId request, RequestResult result);
    int node_of(const Name& name) const;

    ReplicationWorldSettings settings_;
    Seconds now_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<WorldMessage> sent_;
    replication::ReplicaTable agreed_table_;
    std::string fault_;
    std::vector<AttemptInFlight> attempts_in_flight_;
    std::map<Key, std::uint64_t> effects_by_key_;
    // By key and owner of each attempt sent: the owners whose earlier attempts it knew of.
    std::map<Key, std::map<replication::EffectOwner, std::set<replication::EffectOwner>>>
        sent_attempts_;
    std::map<Key, Acknowledgement> acknowledgements_;
    // By key, owner and number of each attempt: all disks on which its record was ever stored.
    std::map<std::tuple<Key, replication::EffectOwner, int>, std::set<std::uint64_t>>
        disks_by_attempt_;
};

}  // namespace tideline::simulation
