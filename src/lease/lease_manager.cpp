#include "lease/lease_manager.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace tideline::lease {
namespace {

// The interval at which outdated times of members' requests are removed.
constexpr Seconds kSweepInterval = 5;

// Returns the member's position among the waiters, counted from 1; 0 if it is not among them.
std::size_t queue_position(const Lease& lease, const Member& member) {
    const auto it = std::find(lease.waiting.begin(), lease.waiting.end(), member);
    return it == lease.waiting.end() ? 0 : static_cast<std::size_t>(it - lease.waiting.begin()) + 1;
}

}  // namespace

LeaseManager::LeaseManager(LeaseManagerHost& host, const LeaseManagerSettings& settings,
                           const LeaseStateMachine& leases)
    : host_(&host), settings_(settings), leases_(&leases) {}
LeaseManager::LeaseManager(const LeaseManager& other, LeaseManagerHost& host,
                           const LeaseStateMachine& leases)
    : LeaseManager(other) {
    host_ = &host;
    leases_ = &leases;
}

void LeaseManager::on_leadership_gained(Seconds now) {
    is_leader_ = true;
    leader_since_ = now;
    timers_.clear();
    // Invariant: a lease is not granted to another member while its holder may still act. An
    // earlier leader may have renewed any of these leases until this planner was elected, so each
    // is given its full time from now.
    for (const auto& [name, lease] : leases_->leases()) {
        if (lease.now.token > FencingToken{}) {
            timers_[name] = {lease.now.token, now + settings_.wait(), 0, true, false};
        }
    }
}
void LeaseManager::on_leadership_lost() {
    is_leader_ = false;
    for (const auto& [requester, id] : pending_acquires_) {
        host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    for (const auto& [round, waits] : pending_renewals_) {
        host_->reply(waits.id, Answer::not_now, {}, 0, 0);
    }
    timers_.clear();
    pending_acquires_.clear();
    last_requested_at_.clear();
    pending_renewals_.clear();
}

void LeaseManager::handle_acquire(Seconds now, LeaseRequestId id, const LeaseName& name,
                                  const Member& member) {
    if (!is_leader_) {
        return host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    const Lease* lease = leases_->find(name);
    const auto is_invalid_name = [](const std::string& text) {
        return text.empty() || text.size() > kMaxNameBytes;
    };
    if (is_invalid_name(name.value) || is_invalid_name(member.name.value) ||
        (!lease && leases_->leases().size() >= kMaxLeases)) {
        return host_->reply(id, Answer::refused, {}, 0, 0);
    }
    if (lease && lease->now.holder == member && lease->now.token > FencingToken{}) {
        return renew(now, id, name, lease->now.token);
    }
    last_requested_at_[{name, member}] = now;
    if (lease && queue_position(*lease, member) > 0) {
        return host_->reply(id, Answer::waiting, lease->now.token, 0,
                            queue_position(*lease, member));
    }
    if (lease && lease->now.token > FencingToken{} && lease->waiting.size() >= kMaxWaiters) {
        return host_->reply(id, Answer::refused, {}, 0, 0);
    }
    // Only the request that led to the entry is answered with its grant. A later request may reach
    // this planner when it is no longer the leader, after its successor has started the timer of
    // the holding.
    if (!pending_acquires_.try_emplace({name, member}, id).second) {
        return host_->reply(id, Answer::waiting, {}, 0, 0);
    }
    host_->propose_acquire(name, member);
}
void LeaseManager::handle_renew(Seconds now, LeaseRequestId id, const LeaseName& name,
                                const Member& member, FencingToken token) {
    if (!is_leader_) {
        return host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    const Lease* lease = leases_->find(name);
    if (!lease || lease->now.holder != member) {
        return host_->reply(id, Answer::over, token, 0, 0);
    }
    renew(now, id, name, token);
}
void LeaseManager::renew(Seconds now, LeaseRequestId id, const LeaseName& name,
                         FencingToken token) {
    const auto timer = timers_.find(name);
    const Lease* lease = leases_->find(name);
    // A holding whose end is proposed must not be renewed.
    if (timer == timers_.end() || timer->second.token != token || timer->second.ending ||
        lease->withdrawn) {
        return host_->reply(id, Answer::over, token, 0, 0);
    }
    // A planner that was partitioned or paused may no longer be the leader. A majority has to
    // confirm that it is before the renewal is granted.
    pending_renewals_.emplace(host_->start_round(), PendingRenewal{id, name, token, now});
}
void LeaseManager::handle_release(Seconds now, LeaseRequestId id, const LeaseName& name,
                                  const Member& member, FencingToken token) {
    if (!is_leader_) {
        return host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    const Lease* lease = leases_->find(name);
    const auto timer = timers_.find(name);
    if (lease && lease->now.holder == member && timer != timers_.end() &&
        timer->second.token == token && !timer->second.ending) {
        end_holding(name, timer->second, HoldingEnd::released, now);
    }
    host_->reply(id, Answer::over, token, 0, 0);
}
void LeaseManager::handle_stop_waiting(Seconds, LeaseRequestId id, const LeaseName& name,
                                       const Member& member) {
    if (!is_leader_) {
        return host_->reply(id, Answer::not_now, {}, 0, 0);
    }
    const Lease* lease = leases_->find(name);
    if (lease && queue_position(*lease, member) > 0) {
        host_->propose_stop_waiting(name, member);
    }
    host_->reply(id, Answer::over, {}, 0, 0);
}

void LeaseManager::on_acquire_applied(Seconds now, const LeaseName& name, const Member& member) {
    if (!is_leader_) {
        return;
    }
    const auto pending = pending_acquires_.find({name, member});
    const bool requested_here = pending != pending_acquires_.end();
    const LeaseRequestId id = requested_here ? pending->second : LeaseRequestId{};
    if (requested_here) {
        pending_acquires_.erase(pending);
    }
    const Lease* lease = leases_->find(name);
    const bool newly_granted = lease && lease->now.holder == member &&
                               lease->now.token > FencingToken{} &&
                               timers_[name].token != lease->now.token;
    if (newly_granted) {
        timers_[name] = {lease->now.token, now + settings_.wait(), now + settings_.claim,
                         requested_here, false};
    }
    if (!requested_here) {
        return;
    }
    if (newly_granted) {
        return host_->reply(id, Answer::granted, lease->now.token, settings_.span, 0);
    }
    if (!lease) {
        return host_->reply(id, Answer::refused, {}, 0, 0);
    }
    host_->reply(id, Answer::waiting, lease->now.token, 0, queue_position(*lease, member));
}
void LeaseManager::on_applied(Seconds now, const LeaseName& name) {
    if (!is_leader_) {
        return;
    }
    const Lease* lease = leases_->find(name);
    if (!lease || lease->now.token == FencingToken{}) {
        timers_.erase(name);
        return;
    }
    if (timers_[name].token == lease->now.token) {
        return;
    }
    // The lease was granted to a waiter that has no pending request. The grant is sent in answer to
    // its next request.
    timers_[name] = {lease->now.token, now + settings_.wait(), now + settings_.claim, false, false};
    host_->notify_turn(lease->now.holder, name, lease->now.token);
}
void LeaseManager::on_round_confirmed(RoundId round) {
    while (!pending_renewals_.empty() && pending_renewals_.begin()->first <= round) {
        const PendingRenewal waits = pending_renewals_.begin()->second;
        pending_renewals_.erase(pending_renewals_.begin());
        const auto timer = timers_.find(waits.lease);
        const Lease* lease = leases_->find(waits.lease);
        if (timer == timers_.end() || timer->second.token != waits.token || timer->second.ending ||
            lease->withdrawn) {
            host_->reply(waits.id, Answer::over, waits.token, 0, 0);
            continue;
        }
        timer->second.until = std::max(timer->second.until, waits.received_at + settings_.wait());
        timer->second.answered = true;
        host_->reply(waits.id, Answer::granted, waits.token, settings_.span, 0);
    }
}

std::vector<Member> LeaseManager::find_absent_waiters(Seconds now, const LeaseName& name) const {
    std::vector<Member> all;
    for (const Member& each : leases_->find(name)->waiting) {
        const auto heard = last_requested_at_.find({name, each});
        if (now > std::max(leader_since_, heard == last_requested_at_.end() ? 0 : heard->second) +
                      settings_.absent) {
            all.push_back(each);
        }
    }
    return all;
}
void LeaseManager::end_holding(const LeaseName& name, HoldingTimer& timer, HoldingEnd reason,
                               Seconds now) {
    timer.ending = true;
    host_->propose_end(name, timer.token, reason, find_absent_waiters(now, name));
}
void LeaseManager::tick(Seconds now) {
    if (!is_leader_) {
        return;
    }
    for (auto& [name, timer] : timers_) {
        if (timer.ending) {
            continue;
        }
        if (now >= timer.until) {
            end_holding(name, timer, HoldingEnd::expired, now);
        } else if (!timer.answered && now >= timer.claim_by) {
            end_holding(name, timer, HoldingEnd::unclaimed, now);
        }
    }
    remove_old_request_times(now);
}
void LeaseManager::remove_old_request_times(Seconds now) {
    if (now < next_sweep_at_) {
        return;
    }
    next_sweep_at_ = now + kSweepInterval;
    std::erase_if(last_requested_at_,
                  [&](const auto& each) { return now > each.second + 2 * settings_.absent; });
}
Seconds LeaseManager::due() const {
    Seconds next = std::numeric_limits<double>::infinity();
    for (const auto& [name, timer] : timers_) {
        if (!timer.ending) {
            next = std::min({next, timer.until, timer.answered ? timer.until : timer.claim_by});
        }
    }
    return next;
}
Seconds LeaseManager::time_left(Seconds now, const LeaseName& name) const {
    const auto timer = timers_.find(name);
    return timer == timers_.end() ? 0 : std::max(0.0, timer->second.until - now);
}
std::string LeaseManager::fingerprint(Seconds now) const {
    std::string text = is_leader_ ? "L" : "-";
    for (const auto& [name, timer] : timers_) {
        text += fmt::format("{}.{}.{:.3f}.{}{};", name.value, timer.token.value, timer.until - now,
                            timer.answered, timer.ending);
    }
    for (const auto& [requester, id] : pending_acquires_) {
        text +=
            fmt::format("t{}{}.{}", requester.first.value, requester.second.name.value, id.value);
    }
    for (const auto& [round, waits] : pending_renewals_) {
        text += fmt::format("c{}.{}.{}.{:.3f}", round.value, waits.id.value, waits.token.value,
                            waits.received_at - now);
    }
    return text;
}

}  // namespace tideline::lease
