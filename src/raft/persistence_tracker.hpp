// Collects a server's changes into requests to write them to its disk, and tracks which of these
// requests are durable. It does no I/O itself.
#pragma once

#include <map>

#include "raft/types.hpp"

namespace tideline::raft {

class PersistenceTracker {
  public:
    // `persisted_index` is the last index of the log that was read from the disk.
    explicit PersistenceTracker(LogIndex persisted_index) : persisted_index_(persisted_index) {}

    // Each of these adds a change to the next request.
    void set_vote_state(const VoteState& vote_state);
    void append(LogIndex index, const LogEntry& entry);
    void truncate_from(LogIndex from);
    // Adds a snapshot that this server took of its own log.
    void compact(const Snapshot& snapshot);
    // Adds a snapshot from the leader. If `discard_log` is set, the log conflicts with the snapshot
    // and is removed; until the request is durable, only `former_snapshot_index` counts as
    // persisted.
    void install(const Snapshot& snapshot, bool discard_log, LogIndex former_snapshot_index);

    bool has_changes() const {
        return has_changes_;
    }
    // Returns a request with all changes since the last one. `last_index` is the last index of the
    // log at this moment.
    PersistRequest start_request(LogIndex last_index);
    // Records that the request and all requests before it are durable.
    void on_persisted(PersistId id);

    LogIndex persisted_index() const {
        return persisted_index_;
    }
    PersistId last_requested() const {
        return last_requested_;
    }
    PersistId last_persisted() const {
        return last_persisted_;
    }

  private:
    PersistRequest next_;
    bool has_changes_ = false;
    PersistId last_requested_;
    PersistId last_persisted_;
    LogIndex persisted_index_;
    // The last index of the log once each request is durable.
    std::map<PersistId, LogIndex> in_flight_;
};

}  // namespace tideline::raft
