// Log replication: AppendEntries, commitment and application.
#include <algorithm>
#include <cassert>
#include <utility>

#include "raft/quorum.hpp"
#include "raft/raft.hpp"

namespace tideline::raft {

void Raft::append(LogEntry entry) {
    persistence_.append({log_.last_index().value + 1}, entry);
    log_.append(std::move(entry));
}

void Raft::truncate_from(LogIndex from) {
    assert(from > commit_index_);  // committed entries are never removed
    log_.truncate_from(from);
    persistence_.truncate_from(from);
}

// Follows the sender of a leader's message whose term is not lower than this server's.
void Raft::accept_leader(Seconds now, ServerId leader, Term term) {
    if (role_ != Role::follower || leader_ != leader || term > vote_state_.term) {
        become_follower(now, term, leader);
    }
    last_leader_contact_ = now;
    reset_election_timer(now);
}

bool Raft::matches_previous(const AppendEntries& message) const {
    const LogIndex prev = message.prev_log_index;
    if (prev > log_.last_index()) {
        return false;
    }
    return prev < log_.snapshot_index() || log_.term_at(prev) == message.prev_log_term;
}

// Returns the prev_log_index that the leader should try next. It lies before all entries of the
// conflicting term, so that the leader needs at most one attempt for each term.
LogIndex Raft::index_to_retry_from(const AppendEntries& message) const {
    const LogIndex prev = message.prev_log_index;
    LogIndex index = std::min(log_.last_index(), LogIndex{prev.value - 1});
    while (index > commit_index_ && prev <= log_.last_index() &&
           log_.term_at(index) == log_.term_at(prev)) {
        --index.value;
    }
    return index;
}

// Appends the entries of the message that the log does not have yet, after it has removed those
// that conflict with them. Returns the index of the last entry of the message.
LogIndex Raft::append_missing_entries(const AppendEntries& message) {
    LogIndex index = message.prev_log_index;
    for (const LogEntry& entry : message.entries) {
        ++index.value;
        if (index <= log_.snapshot_index()) {
            continue;
        }
        if (index <= log_.last_index()) {
            if (log_.term_at(index) == entry.term) {
                continue;
            }
            truncate_from(index);
        }
        append(entry);
    }
    return index;
}

// Invariant: entries are durable before they are acknowledged, because the leader counts this
// server towards the majority that commits them.
void Raft::acknowledge(ServerId to, LogIndex match_index, Round round) {
    reply_when_persisted({persistence_.last_requested(), to,
                          AppendEntriesReply{vote_state_.term, true, match_index, round}});
}

void Raft::handle(Seconds now, ServerId from, ServerId to, const AppendEntries& message) {
    if (to != self_) {
        return;
    }
    if (message.term < vote_state_.term) {
        return transport_->send(
            from, AppendEntriesReply{vote_state_.term, false, log_.last_index(), message.round});
    }
    accept_leader(now, from, message.term);
    const std::uint64_t message_end = message.prev_log_index.value + message.entries.size();
    if (message.prev_log_index < log_.snapshot_index() &&
        message_end <= log_.snapshot_index().value) {
        persist_changes();
        return acknowledge(from, log_.snapshot_index(), message.round);
    }
    if (!matches_previous(message)) {
        persist_changes();
        return transport_->send(
            from, AppendEntriesReply{vote_state_.term, false, index_to_retry_from(message),
                                     message.round});
    }
    const LogIndex match_index = append_missing_entries(message);
    persist_changes();
    acknowledge(from, match_index, message.round);
    const LogIndex committed = std::min(message.leader_commit, match_index);
    if (committed > commit_index_) {
        commit_index_ = committed;
        apply_committed();
    }
    check_invariants();
}

void Raft::handle(Seconds now, ServerId from, ServerId to, const AppendEntriesReply& message) {
    if (to != self_) {
        return;
    }
    if (message.term > vote_state_.term) {
        become_follower(now, message.term, {});
        return persist_changes();
    }
    const auto found = progress_.find(from);
    if (!is_leader() || message.term < vote_state_.term || found == progress_.end()) {
        return;
    }
    Progress& progress = found->second;
    progress.last_reply_at = now;
    progress.acked_round = std::max(progress.acked_round, message.round);
    progress.in_flight = false;
    if (message.success) {
        progress.match_index = std::max(progress.match_index, message.match_index);
        progress.next_index =
            std::max(progress.next_index, LogIndex{progress.match_index.value + 1});
        advance_commit_index();
        // advance_commit_index may have made this server a follower and cleared progress_.
        if (is_leader() && progress.next_index <= log_.last_index()) {
            send_append_entries(from);
        }
        return check_invariants();
    }
    // A delayed reply may carry a lower index than what is already known to match.
    const LogIndex next_index{std::max(progress.match_index.value, message.match_index.value) + 1};
    if (next_index < progress.next_index) {
        progress.next_index = next_index;
        send_append_entries(from);
    }
}

void Raft::broadcast_append_entries() {
    ++round_.value;
    for (const auto& [server, voter] : voters()) {
        if (server == self_) {
            continue;
        }
        Progress& progress = progress_[server];
        if (progress.next_index == LogIndex{}) {
            progress.next_index = {log_.last_index().value + 1};
        }
        progress.in_flight = false;  // earlier messages may be lost, so their entries are resent
        send_append_entries(server);
    }
}

// Sends the entries that the server lacks, or a snapshot if the log no longer has them. While
// earlier entries are in flight, sends a heartbeat.
void Raft::send_append_entries(ServerId to) {
    Progress& progress = progress_[to];
    if (progress.next_index <= log_.snapshot_index()) {
        if (progress.in_flight) {
            return;
        }
        progress.in_flight = true;
        return transport_->send(to, InstallSnapshot{vote_state_.term, log_.snapshot(), round_});
    }
    AppendEntries message;
    message.term = vote_state_.term;
    message.prev_log_index = {progress.next_index.value - 1};
    message.prev_log_term = log_.term_at(message.prev_log_index);
    if (!progress.in_flight) {
        LogIndex index = progress.next_index;
        while (index <= log_.last_index() && message.entries.size() < settings_.max_entries) {
            message.entries.push_back(*log_.entry(index));
            ++index.value;
        }
    }
    message.leader_commit = commit_index_;
    message.round = round_;
    progress.in_flight = progress.in_flight || !message.entries.empty();
    transport_->send(to, message);
}

void Raft::advance_commit_index() {
    const auto replicated = reached_by_majority<LogIndex>(
        voters(), [this](ServerId server) { return match_index(server); });
    // Invariant: an entry of an earlier term is committed only by a later entry of this term. Even
    // if a majority has it, a later leader could still overwrite it (figure 8 of the Raft paper).
    if (replicated <= commit_index_ || log_.term_at(replicated) != vote_state_.term) {
        return;
    }
    commit_index_ = replicated;
    apply_committed();
    if (!is_voter()) {
        broadcast_append_entries();
        step_down(StepDownReason::removed_from_voters);
    }
}

void Raft::apply_committed() {
    while (last_applied_ < commit_index_) {
        ++last_applied_.value;
        state_machine_->apply(last_applied_, *log_.entry(last_applied_));
    }
}

LogIndex Raft::propose(std::string command) {
    if (!is_leader()) {
        return {};
    }
    append({vote_state_.term, EntryKind::command, std::move(command), {}});
    const LogIndex index = log_.last_index();
    for (const auto& [server, voter] : voters()) {
        if (server != self_ && !progress_[server].in_flight) {
            send_append_entries(server);
        }
    }
    persist_changes();
    advance_commit_index();
    check_invariants();
    return index;
}

Round Raft::start_round() {
    broadcast_append_entries();
    return round_;
}

Round Raft::confirmed_round() const {
    if (!is_leader()) {
        return {};
    }
    return reached_by_majority<Round>(voters(), [this](ServerId server) {
        if (server == self_) {
            return round_;
        }
        const auto found = progress_.find(server);
        return found == progress_.end() ? Round{} : found->second.acked_round;
    });
}

}  // namespace tideline::raft
