// Snapshots: compaction of a server's own log, and installation of the leader's snapshot.
#include <fmt/format.h>

#include <utility>

#include "raft/raft.hpp"

namespace tideline::raft {

void Raft::handle(Seconds now, ServerId from, ServerId to, const InstallSnapshot& message) {
    if (to != self_) {
        return;
    }
    if (message.term < vote_state_.term) {
        return transport_->send(
            from, AppendEntriesReply{vote_state_.term, false, log_.last_index(), message.round});
    }
    accept_leader(now, from, message.term);
    const LogIndex index = message.snapshot.last_included_index;
    if (index > commit_index_) {
        transport_->log_event(
            fmt::format("installing snapshot: last_included_index={}", index.value));
        const LogIndex former_index = log_.snapshot_index();
        const bool log_agrees = log_.install(message.snapshot);
        persistence_.install(message.snapshot, !log_agrees, former_index);
        commit_index_ = index;
        last_applied_ = index;
        state_machine_->restore(log_.snapshot());
    }
    persist_changes();
    acknowledge(from, index, message.round);
    check_invariants();
}

void Raft::compact(LogIndex upto, std::string state) {
    // The state covers only entries that were applied.
    if (upto <= log_.snapshot_index() || upto > last_applied_) {
        return;
    }
    log_.compact(upto, std::move(state));
    persistence_.compact(log_.snapshot());
    persist_changes();
    check_invariants();
}

}  // namespace tideline::raft
