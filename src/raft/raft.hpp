// Raft (Ongaro and Ousterhout, 2014, and Ongaro's dissertation) for the planners' log: leader
// election with pre-vote, log replication, snapshots, membership changes of one voter at a time,
// and a leader that steps down when it gets no replies from a majority.
//
// This class does no I/O and reads no clock. Each call passes the time in seconds of a monotonic
// clock, and takes effect through RaftTransport and RaftStateMachine before it returns. It is not
// thread-safe; all calls come from the thread of the event loop.
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

// Sends a server's messages and writes to its disk. No method may call back into Raft.
class RaftTransport {
  public:
    virtual ~RaftTransport() = default;
    // Messages may be lost, duplicated, delayed and reordered.
    virtual void send(ServerId to, const RequestVote& message) = 0;
    virtual void send(ServerId to, const RequestVoteReply& message) = 0;
    virtual void send(ServerId to, const AppendEntries& message) = 0;
    virtual void send(ServerId to, const InstallSnapshot& message) = 0;
    virtual void send(ServerId to, const AppendEntriesReply& message) = 0;
    // Writes requests to the disk in the order of their ids. The transport calls
    // Raft::on_persisted once the request is durable.
    virtual void persist(PersistId id, const PersistRequest& request) = 0;
    // Writes an event to the operator's log.
    virtual void log_event(const std::string& text) = 0;
};

// The replicated state machine. No method may call back into Raft.
class RaftStateMachine {
  public:
    virtual ~RaftStateMachine() = default;
    // Applies a committed entry. Called once for each index, in order.
    virtual void apply(LogIndex index, const LogEntry& entry) = 0;
    // Replaces the state with that of the snapshot.
    virtual void restore(const Snapshot& snapshot) = 0;
};

struct RaftSettings {
    Seconds heartbeat_interval = 0.1;
    // A server that has not heard from a leader for the election timeout starts an election. The
    // timeout is drawn at random from this range.
    Seconds election_timeout_min = 0.5;
    Seconds election_timeout_max = 1.0;
    std::size_t max_entries = 128;  // the most entries in one AppendEntries message
    // Only the model checker turns this off, to search elections in every order.
    bool pre_vote = true;
    bool operator==(const RaftSettings&) const = default;
};

// One server of a Raft cluster.
class Raft {
  public:
    // `state` was read from the disk. `transport` and `state_machine` have to outlive this object.
    Raft(RaftTransport& transport, RaftStateMachine& state_machine, const RaftSettings& settings,
         ServerId self, PersistentState state, std::uint64_t seed, Seconds now);
    // Copies `other`, but uses other interfaces; for simulation and model checking.
    Raft(const Raft& other, RaftTransport& transport, RaftStateMachine& state_machine);

    // Returns the time at which tick has to be called next; infinity if it need not be called.
    Seconds due() const;
    void tick(Seconds now);
    // Starts an election. tick calls this once the election timeout has elapsed.
    void on_election_timeout(Seconds now);

    // Handles a message from another server. `to` is the server that it was addressed to; a message
    // to a former server id of this planner, from before its disk was replaced, is ignored.
    void handle(Seconds now, ServerId from, ServerId to, const RequestVote& message);
    void handle(Seconds now, ServerId from, ServerId to, const RequestVoteReply& message);
    void handle(Seconds now, ServerId from, ServerId to, const AppendEntries& message);
    void handle(Seconds now, ServerId from, ServerId to, const InstallSnapshot& message);
    void handle(Seconds now, ServerId from, ServerId to, const AppendEntriesReply& message);
    // The transport calls this once the request and all requests before it are durable.
    void on_persisted(Seconds now, PersistId id);

    // Appends a command to the log and returns its index, or 0 if this server is not the leader.
    // The command may still be lost if another server becomes leader before it is committed.
    LogIndex propose(std::string command);
    // Appends a new voter set, in which the vote of at most one server may change. Returns false
    // and does nothing if more votes change, if the set has no voter or equals the present one, if
    // this server is not a ready leader, or if the last change is not committed yet.
    bool change_voters(const VoterSet& voters);
    // Starts a round of heartbeats (the ReadIndex protocol, section 6.4 of the dissertation). Once
    // confirmed_round reaches the returned round, it is certain that no other server was leader of
    // a later term when this call was made.
    Round start_round();
    // Replaces the applied entries up to `upto` with a snapshot that holds `state`.
    void compact(LogIndex upto, std::string state);

    bool is_leader() const {
        return role_ == Role::leader;
    }
    // Whether this server is the leader and has applied all entries that were committed before its
    // term.
    bool is_ready_leader() const {
        return is_leader() && last_applied_ >= term_start_index_;
    }
    // The newest round that a majority of the voters has replied to.
    Round confirmed_round() const;
    Round current_round() const {
        return round_;
    }
    ServerId self() const {
        return self_;
    }
    // The leader of the current term as far as this server knows; 0 if it knows of none.
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
    // The highest index up to which the server is known to have persisted this server's log. Only a
    // leader knows it for other servers.
    LogIndex match_index(ServerId server) const;
    // The time since the last reply of the server; infinity if there was none. Only a leader knows
    // it for other servers.
    Seconds time_since_reply(Seconds now, ServerId server) const;
    // The entry at the index; nullptr if the snapshot has replaced it or it is past the end.
    const LogEntry* entry(LogIndex index) const {
        return log_.entry(index);
    }
    // A text of the whole state except for the timers, for model checking: two objects with equal
    // texts behave alike.
    std::string fingerprint() const;

  private:
    enum class Role { follower, pre_candidate, candidate, leader };
    enum class StepDownReason { other_leader_or_higher_term, no_quorum, removed_from_voters };
    // A leader's view of the replication to one follower.
    struct Progress {
        LogIndex next_index;
        LogIndex match_index;
        Round acked_round;
        Seconds last_reply_at = -1;
        bool in_flight = false;  // entries or a snapshot were sent and not replied to
    };
    // A reply that is sent once the write `persist_id` is durable.
    struct PendingReply {
        PersistId persist_id;
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
    LogIndex append_missing_entries(const AppendEntries& message);
    void acknowledge(ServerId to, LogIndex match_index, Round round);
    void broadcast_append_entries();
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

    // State of a candidate, and of a server in the pre-vote phase.
    std::set<ServerId> votes_granted_;
    bool awaits_own_vote_ = false;  // the candidate's own vote is not durable yet

    // State of a leader.
    LogIndex term_start_index_;  // the first entry that it appended in its term
    Round round_;
    std::map<ServerId, Progress> progress_;
    Seconds heartbeat_due_ = 0;
    Seconds leader_since_ = 0;

    // State of a server that is not the leader.
    Seconds last_leader_contact_ = -1e18;
    Seconds election_deadline_ = 0;
};

}  // namespace tideline::raft
