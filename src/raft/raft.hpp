// Raft (Ongaro and Ousterhout, 2014, and Ongaro's dissertation) for the planners' log: leader
// election with pre-vote, log replication, snapshots, membership changes of one voter at a time,
// and a leader that steps down when it hears no majority.
//
// No I/O and no clock. Each call carries the time in seconds of a clock that never goes back, and
// acts through RaftTransport and RaftStateMachine before it returns. Not thread-safe: all calls
// come from the thread of the event loop.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>

#include "raft/messages.hpp"
#include "raft/persistence_tracker.hpp"
#include "raft/raft_log.hpp"
#include "raft/types.hpp"

namespace tideline::raft {

// How a server sends messages and writes to its disk. No method may call back into Raft.
class RaftTransport {
  public:
    virtual ~RaftTransport() = default;
    // Messages may be lost, repeated, delayed and reordered.
    virtual void send(ServerId to, const RequestVote& message) = 0;
    virtual void send(ServerId to, const RequestVoteReply& message) = 0;
    virtual void send(ServerId to, const AppendEntries& message) = 0;
    virtual void send(ServerId to, const InstallSnapshot& message) = 0;
    virtual void send(ServerId to, const AppendEntriesReply& message) = 0;
    // Writes to the disk, in the order of the ids. Raft::on_persisted is called once it is there.
    virtual void persist(PersistId id, const PersistRequest& request) = 0;
    // An event for the operator's log.
    virtual void log_event(const std::string& text) = 0;
};

// What the committed entries are applied to. No method may call back into Raft.
class RaftStateMachine {
  public:
    virtual ~RaftStateMachine() = default;
    // A committed entry; called once for each index, in order.
    virtual void apply(LogIndex index, const LogEntry& entry) = 0;
    // Replaces the state by that of the snapshot.
    virtual void restore(const Snapshot& snapshot) = 0;
};

struct RaftSettings {
    Seconds heartbeat_interval = 0.1;
    // A server that hears no leader for this long starts an election; drawn between the two.
    Seconds election_timeout_min = 0.5;
    Seconds election_timeout_max = 1.0;
    std::size_t max_entries = 128;  // in one AppendEntries message
    bool pre_vote = true;           // false only where a test searches every order of elections
    bool operator==(const RaftSettings&) const = default;
};

class Raft {
  public:
    // `state` is what was on the disk. `transport` and `state_machine` have to outlive this object.
    Raft(RaftTransport& transport, RaftStateMachine& state_machine, const RaftSettings& settings,
         ServerId self, PersistentState state, std::uint64_t seed, Seconds now);
    // A copy of `other` that acts through other interfaces; for simulation and model checking.
    Raft(const Raft& other, RaftTransport& transport, RaftStateMachine& state_machine);

    // When tick has to be called next; infinite if never.
    Seconds due() const;
    void tick(Seconds now);
    // Starts an election, as tick does once the leader was not heard for the election timeout.
    void on_election_timeout(Seconds now);

    // A message from another server. `to` is the server that it was addressed to; one for a former
    // disk of this planner is ignored.
    void handle(Seconds now, ServerId from, ServerId to, const RequestVote& message);
    void handle(Seconds now, ServerId from, ServerId to, const RequestVoteReply& message);
    void handle(Seconds now, ServerId from, ServerId to, const AppendEntries& message);
    void handle(Seconds now, ServerId from, ServerId to, const InstallSnapshot& message);
    void handle(Seconds now, ServerId from, ServerId to, const AppendEntriesReply& message);
    // The request and all before it are on the disk.
    void on_persisted(Seconds now, PersistId id);

    // Appends a command. Returns its index; 0 if this server is not the leader. The command may
    // still be lost if another server becomes leader before it is committed.
    LogIndex propose(std::string command);
    // Appends a new voter set that differs by the vote of at most one server. False, and nothing is
    // done, if it differs by more, if this server is not a ready leader, or if the last change is
    // not committed yet.
    bool change_voters(const VoterSet& voters);
    // Starts a round of heartbeats (ReadIndex of the dissertation, section 6.4). Once
    // confirmed_round reaches the returned round, no other server was leader of a later term when
    // this call was made.
    Round start_round();
    // Replaces the applied entries up to `upto` by a snapshot with `state`.
    void compact(LogIndex upto, std::string state);

    bool is_leader() const {
        return role_ == Role::leader;
    }
    // Leader, and has applied all entries that were committed before its term.
    bool is_ready_leader() const {
        return is_leader() && last_applied_ >= term_start_index_;
    }
    // The newest round that a majority has answered.
    Round confirmed_round() const;
    Round current_round() const {
        return round_;
    }
    ServerId self() const {
        return self_;
    }
    // The leader as far as this server knows; 0: none.
    ServerId leader() const {
        return leader_;
    }
    Term term() const {
        return vote_state_.term;
    }
    const VoterSet& voters() const {
        return log_.voters();
    }
    bool is_voter() const;
    LogIndex commit_index() const {
        return commit_index_;
    }
    LogIndex last_applied() const {
        return last_applied_;
    }
    LogIndex last_log_index() const {
        return log_.last_index();
    }
    LogIndex snapshot_index() const {
        return log_.snapshot_index();
    }
    // The highest index known to be persisted at the server. Of others only a leader knows it.
    LogIndex match_index(ServerId server) const;
    // Time since the last reply of the server; infinite if none. Only a leader knows it.
    Seconds time_since_reply(Seconds now, ServerId server) const;
    // The entry at the index; nullptr where it is in the snapshot or past the end.
    const LogEntry* entry(LogIndex index) const {
        return log_.entry(index);
    }
    // All that later steps depend on except for the clocks, as text; for model checking.
    std::string fingerprint() const;

  private:
    enum class Role { follower, pre_candidate, candidate, leader };
    enum class StepDownReason { other_leader_or_higher_term, no_quorum, removed_from_voters };
    // What a leader knows of a follower.
    struct Progress {
        LogIndex next_index;
        LogIndex match_index;
        Round acked_round;
        Seconds last_reply_at = -1;
        bool in_flight = false;  // entries or a snapshot were sent and not answered
    };
    // A reply that may be sent once a write is on the disk.
    struct PendingReply {
        PersistId after;
        ServerId to;
        std::variant<RequestVoteReply, AppendEntriesReply> message;
    };

    // raft.cpp
    void check_invariants() const;
    void persist_changes();
    void reply_when_persisted(PendingReply reply);
    void send_pending_replies();

    // raft_election.cpp
    void reset_election_timer(Seconds now);
    void become_follower(Seconds now, Term term, ServerId leader);
    void become_candidate(Seconds now);
    void become_leader(Seconds now);
    void step_down(StepDownReason reason);
    void request_votes(Term term, bool pre_vote);
    void request_votes_if_persisted(Seconds now);
    void set_vote_state(const VoteState& vote_state);
    bool hears_majority(Seconds now);
    bool hears_leader(Seconds now) const;
    void answer_pre_vote(Seconds now, ServerId from, const RequestVote& message);
    bool is_up_to_date(const RequestVote& message) const;

    // raft_replication.cpp
    void append(LogEntry entry);
    void truncate_from(LogIndex from);
    void accept_leader(Seconds now, ServerId leader, Term term);
    bool matches_previous(const AppendEntries& message) const;
    LogIndex index_to_retry_from(const AppendEntries& message) const;
    LogIndex append_missing(const AppendEntries& message);
    void acknowledge(ServerId to, LogIndex match_index, Round round);
    void broadcast();
    void send_append_entries(ServerId to);
    void advance_commit_index();
    void apply_committed();

    RaftTransport* transport_;
    RaftStateMachine* state_machine_;
    RaftSettings settings_;
    ServerId self_;
    std::ranlux24_base random_;

    VoteState vote_state_;
    RaftLog log_;
    PersistenceTracker persistence_;
    std::deque<PendingReply> pending_replies_;

    Role role_ = Role::follower;
    ServerId leader_;
    LogIndex commit_index_;
    LogIndex last_applied_;

    // Of a candidate.
    std::set<ServerId> votes_granted_;
    bool awaits_own_vote_ = false;  // its own vote is not on the disk yet

    // Of a leader.
    LogIndex term_start_index_;  // its first entry
    Round round_;
    std::map<ServerId, Progress> progress_;
    Seconds heartbeat_due_ = 0;
    Seconds leader_since_ = 0;

    // Of the others.
    Seconds last_leader_contact_ = -1e18;
    Seconds election_deadline_ = 0;
};

}  // namespace tideline::raft
