// Data types of the planners' Raft log: servers, voters, log entries, snapshots, and the state that
// a server persists before it replies.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::raft {

using cluster::Disk;
using cluster::Name;

// Identifies a planner together with its disk; 0 means no server.
using ServerId = Id<struct ServerIdTag, std::uint64_t>;
// Identifies a cluster of planners; generated when the cluster is founded.
using ClusterId = Id<struct ClusterIdTag, std::uint64_t>;
// A Raft term, in which there is at most one leader.
using Term = Id<struct TermTag, std::uint64_t>;
// The position of an entry in the log. The first entry has index 1; 0 means no entry.
using LogIndex = Id<struct LogIndexTag, std::uint64_t>;
// Numbers the rounds of heartbeats that a leader broadcasts within its term.
using Round = Id<struct RoundTag, std::uint64_t>;
// Numbers the write requests of a server to its disk.
using PersistId = Id<struct PersistTag, std::uint64_t>;

// Derives the server id of a planner from its name and the id of its disk. Invariant: a planner
// whose disk was replaced or emptied gets another server id. It has lost its vote and its log, so
// under its former id it could vote twice in one term.
ServerId server_id_of(const Name& name, const Disk& disk);

// A member of the voter set.
struct Voter {
    Name name;
    std::string address;  // the address that other planners and members connect to
    bool votes = false;   // false for a learner, which receives the log but is in no majority
    bool operator==(const Voter&) const = default;
};
using VoterSet = std::map<ServerId, Voter>;

// The numeric values are part of the wire protocol and of the stored log.
enum class EntryKind { no_op, command, voters };
struct LogEntry {
    Term term;
    EntryKind kind = EntryKind::no_op;
    std::string command;  // set for EntryKind::command; Raft does not interpret it
    VoterSet voters;      // set for EntryKind::voters; the voter set from this entry on
    bool operator==(const LogEntry&) const = default;
};

// The persistent variables currentTerm and votedFor of the Raft paper.
struct VoteState {
    Term term;
    ServerId voted_for;  // the candidate that got this server's vote in `term`; 0 if none
    bool operator==(const VoteState&) const = default;
};

// The serialized state machine after all entries up to last_included_index were applied.
struct Snapshot {
    LogIndex last_included_index;
    Term last_included_term;
    VoterSet voters;
    std::string state;
    bool operator==(const Snapshot&) const = default;
};

// One write to the disk. Its parts are applied in the order of the fields.
struct PersistRequest {
    std::optional<VoteState> vote_state;
    std::optional<Snapshot> snapshot;  // replaces all entries up to its last_included_index
    bool discard_log = false;          // with `snapshot`, removes all later entries as well
    LogIndex truncate_from;            // unless 0, removes all entries from this index on
    LogIndex first_index;              // the index of the first of `entries`
    std::vector<LogEntry> entries;
};

// The state that a server reads from its disk when it starts.
struct PersistentState {
    VoteState vote_state;
    Snapshot snapshot;              // its last_included_index is 0 if there is no snapshot
    std::vector<LogEntry> entries;  // the entries from snapshot.last_included_index + 1 on
    bool operator==(const PersistentState&) const = default;
};

}  // namespace tideline::raft
