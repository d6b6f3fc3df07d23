#include "planner/planner_core.hpp"

#include <fmt/format.h>

namespace tideline::planner {
namespace {

using lease::Answer;
using lease::FencingToken;
using lease::LeaseName;
using lease::LeaseRequestId;
using lease::Member;
using raft::LogIndex;
using raft::Name;
using raft::ServerId;

// A learner that lacks at most this many committed entries has caught up.
constexpr std::uint64_t kCaughtUpEntries = 64;
// A learner whose last reply is older has not caught up, whatever it has persisted.
constexpr Seconds kLearnerTimeout = 2;

void encode_member(const Member& member, wire::Member& to) {
    to.set_name(member.name.value);
    to.set_life(member.incarnation.value);
}

// Whether the entry at index `at` may have changed the holder of the lease: it granted the lease,
// or nobody holds the lease any more.
bool may_have_new_holder(const lease::Lease* lease, LogIndex at) {
    if (!lease) {
        return false;
    }
    const bool is_granted = lease->now.token.value == at.value;
    const bool is_free = lease->now.token == FencingToken{} && !lease->past.empty();
    return is_granted || is_free;
}

bool is_held_under(const lease::Lease* lease, FencingToken token) {
    return lease != nullptr && lease->now.token == token;
}

}  // namespace

PlannerCore::PlannerCore(PlannerCoreHost& host, const PlannerCoreSettings& settings, ServerId self,
                         raft::PersistentState state, std::uint64_t seed, Seconds now)
    : host_(&host),
      settings_(settings),
      now_(now),
      lease_manager_(*this, settings.leases, leases_),
      raft_(host, *this, settings.raft, self, std::move(state), seed, now) {}
PlannerCore::PlannerCore(const PlannerCore& other, PlannerCoreHost& host)
    : host_(&host),
      settings_(other.settings_),
      leases_(other.leases_),
      voter_membership_(other.voter_membership_),
      now_(other.now_),
      unix_offset_(other.unix_offset_),
      lease_manager_(other.lease_manager_, *this, leases_),
      raft_(other.raft_, host, *this),
      leader_term_(other.leader_term_),
      pending_commands_(other.pending_commands_),
      wants_round_(other.wants_round_) {}

raft::PersistentState PlannerCore::initial_state(ServerId self, const Name& name,
                                                 const std::string& address) {
    raft::VoterMembership first;
    first.admit(name, self, address);
    return {{{1}, {}}, {{1}, {1}, first.target_voters(), encode_state({}, first)}, {}};
}

void PlannerCore::apply(LogIndex at, const LogEntry& entry) {
    if (entry.kind != raft::EntryKind::command) {
        return;
    }
    const CommandResult result =
        planner::apply_command(entry.command, at, leases_, voter_membership_);
    if (result.document_written || may_have_new_holder(leases_.find(result.lease), at)) {
        host_->holder_changed(result.lease);
    }
    if (result.is_acquire) {
        lease_manager_.on_acquire_applied(now_, result.lease, result.member);
    } else if (!result.lease.value.empty()) {
        lease_manager_.on_applied(now_, result.lease);
    }
    answer_command_request(at, result.change);
}
// Answers the request whose command the entry holds, if this planner received it.
void PlannerCore::answer_command_request(LogIndex at, lease::ChangeResult change) {
    const auto pending = pending_commands_.find(at);
    if (pending == pending_commands_.end()) {
        return;
    }
    if (change == lease::ChangeResult::stale_token) {
        host_->reply(pending->second, Answer::over, {}, 0, 0);
    } else {
        host_->on_command_committed(pending->second, change == lease::ChangeResult::done);
    }
    pending_commands_.erase(pending);
}
void PlannerCore::restore(const Snapshot& snapshot) {
    if (!planner::restore(snapshot.state, leases_, voter_membership_)) {
        host_->log_event("snapshot can't be parsed: the leases and voters in it are not restored");
    }
}

LogIndex PlannerCore::propose(wire::Command& command) {
    command.set_unix_time(now_ + unix_offset_);
    return raft_.propose(command.SerializeAsString());
}
void PlannerCore::propose_acquire(const LeaseName& lease, const Member& member) {
    wire::Command command;
    command.set_what(wire::Command::TAKE);
    command.set_lease(lease.value);
    encode_member(member, *command.mutable_member());
    propose(command);
}
void PlannerCore::propose_end(const LeaseName& lease, FencingToken token, lease::HoldingEnd reason,
                              const std::vector<Member>& absent) {
    wire::Command command;
    command.set_what(wire::Command::END);
    command.set_lease(lease.value);
    command.set_fence(token.value);
    command.set_end(static_cast<std::uint32_t>(reason));
    for (const Member& each : absent) {
        encode_member(each, *command.add_absent());
    }
    propose(command);
}
void PlannerCore::propose_stop_waiting(const LeaseName& lease, const Member& member) {
    wire::Command command;
    command.set_what(wire::Command::STOP_WAITING);
    command.set_lease(lease.value);
    encode_member(member, *command.mutable_member());
    propose(command);
}
lease::RoundId PlannerCore::start_round() {
    // All requests of one iteration of the event loop share one round.
    wants_round_ = true;
    return {raft_.current_round().value + 1};
}
void PlannerCore::propose_for_request(Seconds now, LeaseRequestId id, wire::Command& command) {
    now_ = now;
    if (!lease_manager_.is_leader()) {
        return host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    const LogIndex at = propose(command);
    if (at.value == 0) {
        return host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    pending_commands_[at] = id;
    after_event(now);
}

void PlannerCore::acquire(Seconds now, LeaseRequestId id, const LeaseName& lease,
                          const Member& member) {
    now_ = now;
    lease_manager_.handle_acquire(now, id, lease, member);
    after_event(now);
}
void PlannerCore::renew(Seconds now, LeaseRequestId id, const LeaseName& lease,
                        const Member& member, FencingToken token) {
    now_ = now;
    lease_manager_.handle_renew(now, id, lease, member, token);
    after_event(now);
}
void PlannerCore::release(Seconds now, LeaseRequestId id, const LeaseName& lease,
                          const Member& member, FencingToken token) {
    now_ = now;
    lease_manager_.handle_release(now, id, lease, member, token);
    after_event(now);
}
void PlannerCore::stop_waiting(Seconds now, LeaseRequestId id, const LeaseName& lease,
                               const Member& member) {
    now_ = now;
    lease_manager_.handle_stop_waiting(now, id, lease, member);
    after_event(now);
}
void PlannerCore::set_alarm(Seconds now, LeaseRequestId id, const LeaseName& lease,
                            FencingToken token, bool raised, const std::string& key,
                            const std::string& text) {
    if (lease_manager_.is_leader() && !is_held_under(leases_.find(lease), token)) {
        return host_->reply(id, Answer::over, token, 0, 0);
    }
    wire::Command command;
    command.set_what(raised ? wire::Command::RAISE : wire::Command::CLEAR);
    command.set_lease(lease.value);
    command.set_fence(token.value);
    command.set_key(key);
    command.set_text(text);
    propose_for_request(now, id, command);
}
void PlannerCore::write_document(Seconds now, LeaseRequestId id, const LeaseName& lease,
                                 FencingToken token, std::uint64_t number,
                                 const std::string& bytes) {
    if (lease_manager_.is_leader() && !is_held_under(leases_.find(lease), token)) {
        return host_->reply(id, Answer::over, token, 0, 0);
    }
    wire::Command command;
    command.set_what(wire::Command::WRITE);
    command.set_lease(lease.value);
    command.set_fence(token.value);
    command.set_number(number);
    command.set_text(bytes);
    propose_for_request(now, id, command);
}
void PlannerCore::revoke(Seconds now, LeaseRequestId id, const LeaseName& lease) {
    const lease::Lease* found = leases_.find(lease);
    if (lease_manager_.is_leader() && (found == nullptr || found->now.token == FencingToken{})) {
        return host_->reply(id, Answer::refused, {}, 0, 0);
    }
    wire::Command command;
    command.set_what(wire::Command::TAKE_AWAY);
    command.set_lease(lease.value);
    command.set_fence(found ? found->now.token.value : 0);
    propose_for_request(now, id, command);
}
void PlannerCore::admit(Seconds now, LeaseRequestId id, ServerId server, const Name& name,
                        const std::string& address) {
    wire::Command command;
    command.set_what(wire::Command::ADMIT);
    command.mutable_seat()->set_peer(server.value);
    command.mutable_seat()->set_name(name.value);
    command.mutable_seat()->set_address(address);
    propose_for_request(now, id, command);
}
void PlannerCore::remove(Seconds now, LeaseRequestId id, const Name& name) {
    wire::Command command;
    command.set_what(wire::Command::REMOVE);
    command.mutable_seat()->set_name(name.value);
    propose_for_request(now, id, command);
}

void PlannerCore::tick(Seconds now) {
    raft_.tick(now);
    after_event(now);
}
void PlannerCore::end_batch(Seconds now) {
    if (!std::exchange(wants_round_, false)) {
        return;
    }
    if (raft_.is_leader()) {
        raft_.start_round();
    }
    after_event(now);
}
void PlannerCore::after_event(Seconds now) {
    now_ = now;
    if (lease_manager_.is_leader() && (!raft_.is_leader() || raft_.term() != leader_term_)) {
        lease_manager_.on_leadership_lost();
        for (const auto& [at, id] : std::exchange(pending_commands_, {})) {
            host_->reply(id, Answer::not_now, {}, 0, 0);
        }
    }
    // Invariant: a new leader answers requests only once it has applied all entries that were
    // committed before its term. Otherwise it could renew a lease that a committed entry ends.
    if (!lease_manager_.is_leader() && raft_.is_ready_leader()) {
        leader_term_ = raft_.term();
        lease_manager_.on_leadership_gained(now);
    }
    if (lease_manager_.is_leader()) {
        lease_manager_.on_round_confirmed({raft_.confirmed_round().value});
        lease_manager_.tick(now);
        advance_voters(now);
    }
    if (raft_.last_applied().value >
        raft_.snapshot_index().value + settings_.snapshot_after_entries) {
        raft_.compact(raft_.last_applied(), encode_state(leases_, voter_membership_));
    }
}
// Proposes the next change of the voter set towards the admitted planners.
void PlannerCore::advance_voters(Seconds now) {
    const auto caught_up = [&](ServerId server) {
        const bool has_log =
            raft_.match_index(server).value + kCaughtUpEntries >= raft_.commit_index().value;
        return has_log && raft_.time_since_reply(now, server) < kLearnerTimeout;
    };
    const auto next = voter_membership_.next_voter_set(raft_.voters(), caught_up);
    if (next && raft_.change_voters(*next)) {
        host_->log_event(fmt::format("changing voters: servers={}", next->size()));
    }
}

std::string PlannerCore::fingerprint(Seconds now) const {
    return raft_.fingerprint() + leases_.fingerprint() + lease_manager_.fingerprint(now) +
           (wants_round_ ? "w" : "");
}

}  // namespace tideline::planner
