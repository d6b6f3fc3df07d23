#include "raft/raft_log.hpp"

#include <cassert>
#include <iterator>
#include <utility>

namespace tideline::raft {

RaftLog::RaftLog(Snapshot snapshot, std::vector<LogEntry> entries)
    : snapshot_(std::move(snapshot)) {
    for (LogEntry& entry : entries) {
        append(std::move(entry));
    }
}

const LogEntry* RaftLog::entry(LogIndex index) const {
    if (index <= snapshot_index() || index > last_index()) {
        return nullptr;
    }
    return &entries_[index.value - snapshot_index().value - 1];
}

Term RaftLog::term_at(LogIndex index) const {
    if (const LogEntry* found = entry(index)) {
        return found->term;
    }
    return index == snapshot_index() ? snapshot_.last_included_term : Term{};
}

const VoterSet& RaftLog::voters() const {
    return voter_sets_.empty() ? snapshot_.voters : voter_sets_.rbegin()->second;
}

bool RaftLog::changes_voters_after(LogIndex index) const {
    return !voter_sets_.empty() && voter_sets_.rbegin()->first > index;
}

void RaftLog::append(LogEntry entry) {
    if (entry.kind == EntryKind::voters) {
        voter_sets_[{last_index().value + 1}] = entry.voters;
    }
    entries_.push_back(std::move(entry));
}

void RaftLog::truncate_from(LogIndex from) {
    assert(from > snapshot_index() && from <= last_index());
    const auto kept = static_cast<std::ptrdiff_t>(from.value - snapshot_index().value - 1);
    entries_.erase(entries_.begin() + kept, entries_.end());
    voter_sets_.erase(voter_sets_.lower_bound(from), voter_sets_.end());
}

void RaftLog::compact(LogIndex upto, std::string state) {
    assert(upto > snapshot_index() && upto <= last_index());
    const auto next_set = voter_sets_.upper_bound(upto);
    Snapshot snapshot;
    snapshot.last_included_index = upto;
    snapshot.last_included_term = term_at(upto);
    snapshot.voters =
        next_set == voter_sets_.begin() ? snapshot_.voters : std::prev(next_set)->second;
    snapshot.state = std::move(state);
    remove_until(upto);
    snapshot_ = std::move(snapshot);
}

bool RaftLog::install(const Snapshot& snapshot) {
    const LogIndex index = snapshot.last_included_index;
    const bool agrees = index <= last_index() && term_at(index) == snapshot.last_included_term;
    if (agrees) {
        remove_until(index);
    } else {
        entries_.clear();
        voter_sets_.clear();
    }
    snapshot_ = snapshot;
    return agrees;
}

void RaftLog::remove_until(LogIndex upto) {
    assert(upto >= snapshot_index() && upto <= last_index());
    const auto removed = static_cast<std::ptrdiff_t>(upto.value - snapshot_index().value);
    entries_.erase(entries_.begin(), entries_.begin() + removed);
    voter_sets_.erase(voter_sets_.begin(), voter_sets_.upper_bound(upto));
}

}  // namespace tideline::raft
