#include "raft/raft.hpp"

#include <fmt/format.h>

#include <cassert>
#include <limits>
#include <utility>

#include "raft/quorum.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::raft {
namespace {

constexpr Seconds kNever = std::numeric_limits<double>::infinity();

}  // namespace

ServerId server_id_of(const Name& name, const Disk& disk) {
    // The lowest bit is set because 0 means no server.
    return ServerId{XXH3_64bits_withSeed(name.value.data(), name.value.size(), disk.value) | 1};
}

Raft::Raft(RaftTransport& transport, RaftStateMachine& state_machine, const RaftSettings& settings,
           ServerId self, PersistentState state, std::uint64_t seed, Seconds now)
    : transport_(&transport),
      state_machine_(&state_machine),
      settings_(settings),
      self_(self),
      random_(static_cast<std::uint32_t>(seed ^ self.value)),
      vote_state_(state.vote_state),
      log_(std::move(state.snapshot), std::move(state.entries)),
      persistence_(log_.last_index()),
      commit_index_(log_.snapshot_index()),
      last_applied_(log_.snapshot_index()) {
    if (log_.snapshot_index().value > 0) {
        state_machine_->restore(log_.snapshot());
    }
    reset_election_timer(now);
}

Raft::Raft(const Raft& other, RaftTransport& transport, RaftStateMachine& state_machine)
    : Raft(other) {
    transport_ = &transport;
    state_machine_ = &state_machine;
}

bool Raft::is_voter() const {
    return votes_in(voters(), self_);
}

LogIndex Raft::match_index(ServerId server) const {
    if (server == self_) {
        return persistence_.persisted_index();
    }
    const auto found = progress_.find(server);
    return found == progress_.end() ? LogIndex{} : found->second.match_index;
}

Seconds Raft::time_since_reply(Seconds now, ServerId server) const {
    if (server == self_) {
        return 0;
    }
    const auto found = progress_.find(server);
    if (found == progress_.end() || found->second.last_reply_at < 0) {
        return kNever;
    }
    return now - found->second.last_reply_at;
}

Seconds Raft::due() const {
    if (is_leader()) {
        return heartbeat_due_;
    }
    if (!is_voter()) {
        return kNever;
    }
    return election_deadline_;
}

void Raft::tick(Seconds now) {
    if (!is_leader()) {
        if (is_voter() && now >= election_deadline_) {
            on_election_timeout(now);
        }
        return;
    }
    if (now < heartbeat_due_) {
        return;
    }
    // A leader that is partitioned from the majority steps down. Otherwise clients that can reach
    // only this server would wait for it forever.
    if (!hears_majority(now)) {
        reset_election_timer(now);
        return step_down(StepDownReason::no_quorum);
    }
    heartbeat_due_ = now + settings_.heartbeat_interval;
    broadcast_append_entries();
    persist_changes();
}

// Checks conditions that hold between any two calls of public methods.
void Raft::check_invariants() const {
    assert(log_.snapshot_index() <= last_applied_);
    assert(last_applied_ <= commit_index_);
    assert(commit_index_ <= log_.last_index());
    assert(persistence_.persisted_index() <= log_.last_index());
    assert(!is_leader() || leader_ == self_);
}

void Raft::persist_changes() {
    if (!persistence_.has_changes()) {
        return;
    }
    const PersistRequest request = persistence_.start_request(log_.last_index());
    transport_->persist(persistence_.last_requested(), request);
}

void Raft::on_persisted(Seconds now, PersistId id) {
    persistence_.on_persisted(id);
    send_pending_replies();
    request_votes_if_persisted(now);
    if (is_leader()) {
        advance_commit_index();
    }
    persist_changes();
    check_invariants();
}

void Raft::reply_when_persisted(PendingReply reply) {
    pending_replies_.push_back(reply);
    send_pending_replies();
}

void Raft::send_pending_replies() {
    while (!pending_replies_.empty() &&
           pending_replies_.front().persist_id <= persistence_.last_persisted()) {
        const PendingReply reply = pending_replies_.front();
        pending_replies_.pop_front();
        std::visit(
            [&](const auto& message) {
                // The receiver would ignore a reply of an earlier term.
                if (message.term == vote_state_.term) {
                    transport_->send(reply.to, message);
                }
            },
            reply.message);
    }
}

std::string Raft::fingerprint() const {
    std::string text =
        fmt::format("{}.{}.{}.{}.{}.{}.{}|", vote_state_.term.value, vote_state_.voted_for.value,
                    static_cast<int>(role_), leader_.value, commit_index_.value,
                    last_applied_.value, persistence_.persisted_index().value);
    text += fmt::format("{}:{};", log_.snapshot_index().value, log_.snapshot().state);
    for (const LogEntry& entry : log_.entries()) {
        text += fmt::format("{}.{}.{}.{},", entry.term.value, static_cast<int>(entry.kind),
                            entry.command, entry.voters.size());
    }
    for (const ServerId server : votes_granted_) {
        text += fmt::format("b{}", server.value);
    }
    for (const auto& [server, progress] : progress_) {
        text +=
            fmt::format("p{}.{}.{}.{}.{}", server.value, progress.next_index.value,
                        progress.match_index.value, progress.acked_round.value, progress.in_flight);
    }
    for (const PendingReply& reply : pending_replies_) {
        const auto* append_reply = std::get_if<AppendEntriesReply>(&reply.message);
        text += fmt::format("o{}.{}.{}.{}", reply.persist_id.value, reply.to.value,
                            append_reply ? append_reply->match_index.value : 0,
                            append_reply == nullptr);
    }
    return text + fmt::format("r{}.{}.{}.{}", round_.value, persistence_.last_requested().value,
                              persistence_.last_persisted().value, awaits_own_vote_);
}

}  // namespace tideline::raft
