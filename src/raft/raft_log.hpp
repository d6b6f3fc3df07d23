// The in-memory log of a server: the snapshot, the entries after it, and the voter sets that those
// entries introduced. It does no I/O and does not know which entries are durable or committed.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "raft/types.hpp"

namespace tideline::raft {

class RaftLog {
  public:
    // The first of `entries` directly follows the snapshot.
    RaftLog(Snapshot snapshot, std::vector<LogEntry> entries);

    const Snapshot& snapshot() const {
        return snapshot_;
    }
    LogIndex snapshot_index() const {
        return snapshot_.last_included_index;
    }
    LogIndex last_index() const {
        return {snapshot_index().value + entries_.size()};
    }
    Term last_term() const {
        return term_at(last_index());
    }
    // The entry at the index; nullptr if the snapshot has replaced it or it is past the end.
    const LogEntry* entry(LogIndex index) const;
    // The term of the entry at the index; 0 if the log does not know it.
    Term term_at(LogIndex index) const;
    const std::deque<LogEntry>& entries() const {
        return entries_;
    }

    // The voter set in force: the newest one, whether its entry is committed or not, as the Raft
    // paper requires.
    const VoterSet& voters() const;
    // Whether any entry after the index changes the voter set.
    bool changes_voters_after(LogIndex index) const;

    void append(LogEntry entry);
    // Removes the entry at `from` and all entries after it.
    void truncate_from(LogIndex from);
    // Replaces the entries up to `upto` with a snapshot that holds `state`, the result of applying
    // them.
    void compact(LogIndex upto, std::string state);
    // Installs a snapshot from the leader. If the log has the snapshot's last entry with the same
    // term, the entries after it are kept; otherwise all entries are removed. Returns whether they
    // were kept.
    bool install(const Snapshot& snapshot);

  private:
    void remove_until(LogIndex upto);

    Snapshot snapshot_;
    std::deque<LogEntry> entries_;
    std::map<LogIndex, VoterSet> voter_sets_;  // keyed by the index of the entry with the set
};

}  // namespace tideline::raft
