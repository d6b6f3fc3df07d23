#include "raft/persistence_tracker.hpp"

#include <algorithm>
#include <utility>

namespace tideline::raft {

void PersistenceTracker::set_vote_state(const VoteState& vote_state) {
    next_.vote_state = vote_state;
    has_changes_ = true;
}

void PersistenceTracker::append(LogIndex index, const LogEntry& entry) {
    if (next_.entries.empty()) {
        next_.first_index = index;
    }
    next_.entries.push_back(entry);
    has_changes_ = true;
}

void PersistenceTracker::truncate_from(LogIndex from) {
    const LogIndex last_kept{from.value - 1};
    persisted_index_ = std::min(persisted_index_, last_kept);
    for (auto& [id, end] : in_flight_) {
        end = std::min(end, last_kept);
    }
    next_.truncate_from = from;
    has_changes_ = true;
}

void PersistenceTracker::compact(const Snapshot& snapshot) {
    next_.snapshot = snapshot;
    has_changes_ = true;
}

void PersistenceTracker::install(const Snapshot& snapshot, bool discard_log,
                                 LogIndex former_snapshot_index) {
    next_.snapshot = snapshot;
    next_.discard_log = discard_log;
    has_changes_ = true;
    if (!discard_log) {
        return;
    }
    persisted_index_ = former_snapshot_index;
    for (auto& [id, end] : in_flight_) {
        end = {};
    }
}

PersistRequest PersistenceTracker::start_request(LogIndex last_index) {
    ++last_requested_.value;
    in_flight_[last_requested_] = last_index;
    has_changes_ = false;
    return std::exchange(next_, {});
}

void PersistenceTracker::on_persisted(PersistId id) {
    last_persisted_ = std::max(last_persisted_, id);
    while (!in_flight_.empty() && in_flight_.begin()->first <= last_persisted_) {
        persisted_index_ = std::max(persisted_index_, in_flight_.begin()->second);
        in_flight_.erase(in_flight_.begin());
    }
}

}  // namespace tideline::raft
