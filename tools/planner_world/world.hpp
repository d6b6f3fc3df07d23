// A simulated world of planners and members that compete for one lease. They run the production
// state machines (planner core, lease client, fencing check). A crash loses the writes that are not
// on the disk yet, clocks run fast or slow, and acts reach their target late. The world uses no
// sockets and no real clock: its driver sets the time and delivers the messages. A world can be
// copied so that a search can try every order of events. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster.pb.h"
#include "lease/fencing_check.hpp"
#include "lease/lease_client.hpp"
#include "planner/raft_message_codec.hpp"
#include "planner_world/linearizability.hpp"

namespace tideline::simulation {

using lease::LeaseName;
using lease::LeaseRequestId;
using raft::ServerId;

// The size of a world and the settings of the state machines in it.
struct PlannerWorldSettings {
    int planners = 3;
    int members = 2;
    planner::PlannerCoreSettings planner_core;
    lease::LeaseClientSettings lease_client;
    // The share by which the planners' clocks run fast and the members' clocks run slow, which is
    // the worst case for the leases.
    double drift = 0;
    // If true, a member's request can reach any planner. If false, a member sends its requests to
    // one planner, and switches to the next one after a failure.
    bool any_planner = true;
    std::uint32_t seed = 1;
};

// A message between two nodes. Node indices count from 0: first the planners, then the members.
struct PlannerWorldMessage {
    int from = 0;
    int to = 0;         // -1: any planner
    std::string bytes;  // a serialized wire::Word
    bool operator<(const PlannerWorldMessage& other) const {
        return std::tie(from, to, bytes) < std::tie(other.from, other.to, other.bytes);
    }
};

// Planners and members with their disks, clocks and messages. The invariants are checked after each
// event that can violate them; fault() returns the first violation.
class PlannerWorld {
  public:
    explicit PlannerWorld(const PlannerWorldSettings& settings);
    PlannerWorld(const PlannerWorld& other);
    PlannerWorld& operator=(const PlannerWorld&) = delete;
    ~PlannerWorld();

    // Events.

    // Sets the true time, in seconds, which must not decrease.
    void set_time(double now) {
        now_ = now;
    }
    // Delivers a message to a node; a node that is down ignores it.
    void deliver(const PlannerWorldMessage& message, int to);
    // Stores all pending writes of a planner.
    void complete_writes(int planner);
    // Executes the actions that are due at a node.
    void tick(int node);
    // Lets the election timeout of a planner expire; the planner must be up.
    void start_election(int planner);
    // Lets the planner, which must be up and the leader, start a round of heartbeats.
    void send_heartbeats(int planner);
    // Stops a node, whose pending writes are lost.
    void crash(int node);
    // Starts a node that is down.
    void start(int node);
    // Erases the disk of a planner that is down.
    void wipe(int planner);
    // Executes an operator's command at `receiving_planner` that admits `planner` as a voter.
    void admit(int planner, int receiving_planner);
    // Executes an operator's command at `receiving_planner` that revokes the lease.
    void revoke(int receiving_planner);
    // Sets whether a member wants the lease.
    void set_wanted(int member, bool wanted);
    // Lets a member renew the lease now.
    void renew_now(int member);
    // Lets a member check whether it may act. If so, an act is pending afterwards.
    void check_may_act(int member);
    // Lets the pending act of a member reach its target, which checks the fencing token.
    void perform_act(int member);
    // Lets a member request to raise or clear the alarm of the lease if it may act.
    void set_alarm(int member, bool raised);

    // State.

    double now() const {
        return now_;
    }
    int planners() const {
        return settings_.planners;
    }
    int nodes() const {
        return settings_.planners + settings_.members;
    }
    // Returns the number of nodes with a disk; they come first in the order of the indices.
    int disks() const {
        return settings_.planners;
    }
    bool up(int node) const;
    // Returns the core of a planner; null while it is down.
    const planner::PlannerCore* planner_core(int planner) const;
    bool has_pending_writes(int planner) const;
    // Returns whether the planner is a voter according to a leader whose whole log is committed.
    bool is_voter(int planner) const;
    bool may_act(int member) const;
    // Returns the token under which a member may act; 0 if it may not act.
    FencingToken token_of(int member) const;
    bool has_pending_act(int member) const;
    bool is_wanted(int member) const;
    // Returns the true time at which tick() is due for the node; infinity while it is down.
    double due(int node) const;
    // Returns the state that later events depend on, as text.
    std::string state() const;
    // Returns a description of the first violation of an invariant; empty if there was none.
    const std::string& fault() const {
        return fault_;
    }
    // Returns the messages sent since the last call.
    std::vector<PlannerWorldMessage> take_sent() {
        return std::exchange(sent_, {});
    }
    const std::vector<RegisterObservation>& history() const {
        return history_;
    }
    const PlannerWorldSettings& settings() const {
        return settings_;
    }
    // Returns how many times a member acquired the lease.
    std::uint64_t grants() const {
        return grants_;
    }
    // Returns how many acts took effect.
    std::uint64_t acted() const {
        return acted_;
    }
    // Returns how many acts the fencing check rejected.
    std::uint64_t refused() const {
        return refused_;
    }

    static const LeaseName kLease;

  private:
    class PlannerNode;
    class MemberNode;

    PlannerNode& planner_node(int planner) const;
    MemberNode& member_node(int member) const;
    bool is_planner(int node) const {
        return node < settings_.planners;
    }
    double clock_rate(int node) const;
    double local_time(int node) const;
    void check_invariants();
    void check_single_holder();
    void check_planner(int planner);
    bool check_committed_entries(int planner);
    void limit_observations();
    void record_violation(const std::string& text);
    void send(int from, int to, const wire::Word& message);
    int planner_index_of(ServerId peer) const;
    ServerId server_id_of(int planner) const;
    std::string name_of(int node) const;

    PlannerWorldSettings settings_;
    double now_ = 0;
    std::vector<std::unique_ptr<PlannerNode>> planners_;
    std::vector<std::unique_ptr<MemberNode>> members_;
    std::vector<PlannerWorldMessage> sent_;
    lease::FencingCheck fencing_check_;
    std::string fault_;
    // Observations from earlier states, with which the checks compare later states.
    std::map<raft::Term, ServerId> leader_by_term_;
    std::map<raft::LogIndex, std::string> committed_entries_;
    std::map<raft::LogIndex, std::string> applied_fingerprints_;
    std::map<FencingToken, std::string> holder_by_token_;
    FencingToken highest_held_token_;
    FencingToken last_act_token_;
    std::vector<RegisterObservation> history_;
    std::uint64_t grants_ = 0;
    std::uint64_t acted_ = 0;
    std::uint64_t refused_ = 0;
};

}  // namespace tideline::simulation
