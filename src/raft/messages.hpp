// The Raft messages, named as in the Raft paper. `term` is the sender's term unless stated
// otherwise.
#pragma once

#include <vector>

#include "raft/types.hpp"

namespace tideline::raft {

// A candidate requests a vote. With `pre_vote` the sender asks whether the receiver would grant the
// vote (section 9.6 of Ongaro's dissertation), and `term` is the term after the sender's own.
struct RequestVote {
    Term term;
    LogIndex last_log_index;
    Term last_log_term;
    bool pre_vote = false;
};
struct RequestVoteReply {
    Term term;
    bool vote_granted = false;
    bool pre_vote = false;
};
// The leader replicates log entries. A message without entries is a heartbeat.
struct AppendEntries {
    Term term;
    LogIndex prev_log_index;
    Term prev_log_term;
    std::vector<LogEntry> entries;
    LogIndex leader_commit;
    Round round;
};
// The leader sends a snapshot in place of entries that its log no longer has.
struct InstallSnapshot {
    Term term;
    Snapshot snapshot;
    Round round;
};
// The reply to AppendEntries and to InstallSnapshot.
struct AppendEntriesReply {
    Term term;
    bool success = false;
    // If `success` is set, the highest index up to which the persisted log matches the leader's.
    // Otherwise the index that the leader should use as prev_log_index next.
    LogIndex match_index;
    Round round;  // the round of the message that this one replies to
};

}  // namespace tideline::raft
