#include "lease/lease_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace tideline::lease {
namespace {

// The share of the span after which a lease is renewed. Two renewals may be lost before it expires.
constexpr double kRenewalShare = 1.0 / 3;
// The number of bits of a request id below the incarnation. Incarnations are milliseconds apart,
// and each sends fewer than a million requests.
constexpr int kIncarnationShift = 20;
// The longest backoff, as a multiple of the timeout of a request.
constexpr int kMaxBackoffFactor = 8;

}  // namespace

LeaseClient::LeaseClient(LeaseClientHost& host, const LeaseClientSettings& settings,
                         Incarnation incarnation)
    : host_(&host), settings_(settings), last_request_{incarnation.value << kIncarnationShift} {}
LeaseClient::LeaseClient(const LeaseClient& other, LeaseClientHost& host) : LeaseClient(other) {
    host_ = &host;
}

void LeaseClient::acquire(Seconds now, const LeaseName& lease) {
    const auto [it, is_new] = wanted_leases_.try_emplace(lease);
    if (is_new) {
        send_request(now, lease, it->second);
    }
}
void LeaseClient::release(Seconds, const LeaseName& lease) {
    const auto it = wanted_leases_.find(lease);
    if (it == wanted_leases_.end()) {
        return;
    }
    const FencingToken token = it->second.token;
    // Another member may act once the lease is released, so this member stops acting first.
    if (token > FencingToken{}) {
        mark_lost(lease, it->second, LossReason::released);
    }
    wanted_leases_.erase(it);
    if (token > FencingToken{}) {
        release_token(lease, token);
    } else {
        host_->request_stop_waiting({++last_request_.value}, lease);
    }
}
void LeaseClient::release_token(const LeaseName& lease, FencingToken token) {
    released_tokens_[lease] = std::max(released_tokens_[lease], token);
    host_->request_release({++last_request_.value}, lease, token);
}
void LeaseClient::send_request(Seconds now, const LeaseName& lease, WantedLease& wanted) {
    wanted.request = {++last_request_.value};
    wanted.requested_at = now;
    wanted.next_request_at = now + settings_.answer_wait;
    if (wanted.token > FencingToken{}) {
        host_->request_renewal(wanted.request, lease, wanted.token);
    } else {
        host_->request_acquire(wanted.request, lease);
    }
}
LeaseClient::WantedLease* LeaseClient::close_request(LeaseRequestId id, LeaseName& lease) {
    for (auto& [name, wanted] : wanted_leases_) {
        if (wanted.request == id && id > LeaseRequestId{}) {
            lease = name;
            wanted.request = {};
            return &wanted;
        }
    }
    return nullptr;  // the request was abandoned, so the time at which it was sent is not known
}
void LeaseClient::mark_lost(const LeaseName& lease, WantedLease& wanted, LossReason reason) {
    const FencingToken token = std::exchange(wanted.token, FencingToken{});
    wanted.until = 0;
    host_->on_lost(lease, token, reason);
}
void LeaseClient::back_off(Seconds now, WantedLease& wanted) const {
    wanted.next_request_at =
        now + settings_.answer_wait *
                  std::min(kMaxBackoffFactor, 1 << std::min(wanted.failed_attempts, 3));
    ++wanted.failed_attempts;
}

void LeaseClient::on_granted(Seconds now, LeaseRequestId id, FencingToken token, Seconds span) {
    LeaseName lease;
    WantedLease* wanted = close_request(id, lease);
    if (!wanted) {
        return;
    }
    // Invariant: a released token is never used again. The message that releases it may still be in
    // flight, and would end the holding when it arrives.
    if (const auto given = released_tokens_.find(lease);
        given != released_tokens_.end() && token <= given->second) {
        if (wanted->token > FencingToken{}) {
            mark_lost(lease, *wanted, LossReason::revoked);
        }
        release_token(lease, token);
        return back_off(now, *wanted);
    }
    // Invariant: the member counts the span from when it sent the request, and the leader from when
    // it received the request. So the member stops acting before the leader ends the holding.
    const Seconds until = wanted->requested_at + span;
    if (now >= until) {
        wanted->next_request_at = now;
        return;
    }
    if (wanted->token > FencingToken{} && wanted->token != token) {
        mark_lost(lease, *wanted, LossReason::revoked);
    }
    const bool newly_acquired = wanted->token == FencingToken{};
    wanted->token = token;
    wanted->until = newly_acquired ? until : std::max(until, wanted->until);
    wanted->failed_attempts = 0;
    wanted->queue_position = 0;
    wanted->next_request_at =
        std::min(wanted->requested_at + span * kRenewalShare, now + settings_.max_renewal_interval);
    if (newly_acquired) {
        host_->on_acquired(lease, token);
    }
}
void LeaseClient::on_waiting(Seconds now, LeaseRequestId id, std::size_t before) {
    LeaseName lease;
    WantedLease* wanted = close_request(id, lease);
    if (!wanted) {
        return;
    }
    if (wanted->token > FencingToken{}) {
        mark_lost(lease, *wanted, LossReason::revoked);
    }
    wanted->queue_position = before;
    wanted->failed_attempts = 0;
    wanted->next_request_at =
        now + (before > 0 ? settings_.queue_poll_interval : settings_.answer_wait);
}
void LeaseClient::on_over(Seconds now, LeaseRequestId id) {
    LeaseName lease;
    WantedLease* wanted = close_request(id, lease);
    if (!wanted) {
        return;
    }
    const FencingToken token = wanted->token;
    if (token > FencingToken{}) {
        mark_lost(lease, *wanted, LossReason::revoked);
        // If the lease was revoked, this lets the next holder start before the lease would expire.
        release_token(lease, token);
    }
    back_off(now, *wanted);
}
void LeaseClient::on_not_now(Seconds now, LeaseRequestId id) {
    LeaseName lease;
    WantedLease* wanted = close_request(id, lease);
    if (!wanted) {
        return;
    }
    host_->switch_planner();
    back_off(now, *wanted);
}
void LeaseClient::on_refused(Seconds now, LeaseRequestId id) {
    LeaseName lease;
    WantedLease* wanted = close_request(id, lease);
    if (!wanted) {
        return;
    }
    wanted->next_request_at = now + settings_.queue_poll_interval * kMaxBackoffFactor;
}
void LeaseClient::on_turn(Seconds now, const LeaseName& lease) {
    const auto it = wanted_leases_.find(lease);
    if (it != wanted_leases_.end() && it->second.token == FencingToken{}) {
        send_request(now, lease, it->second);
    }
}

void LeaseClient::renew_now(Seconds now, const LeaseName& lease) {
    const auto it = wanted_leases_.find(lease);
    if (it != wanted_leases_.end() && it->second.token > FencingToken{}) {
        send_request(now, lease, it->second);
    }
}
void LeaseClient::tick(Seconds now) {
    bool switched_planner = false;
    for (auto& [lease, wanted] : wanted_leases_) {
        if (wanted.token > FencingToken{} && now >= wanted.until) {
            mark_lost(lease, wanted, LossReason::expired);
        }
        if (now < wanted.next_request_at) {
            continue;
        }
        if (wanted.request > LeaseRequestId{}) {
            if (!std::exchange(switched_planner, true)) {
                host_->switch_planner();
            }
            ++wanted.failed_attempts;
        }
        send_request(now, lease, wanted);
        // Without a backoff all members would send requests at the full rate while no planner
        // answers.
        if (wanted.failed_attempts > 1) {
            wanted.next_request_at =
                now + settings_.answer_wait * std::min(kMaxBackoffFactor, wanted.failed_attempts);
        }
    }
}
Seconds LeaseClient::due() const {
    Seconds next = std::numeric_limits<double>::infinity();
    for (const auto& [lease, wanted] : wanted_leases_) {
        next = std::min(next, wanted.token > FencingToken{}
                                  ? std::min(wanted.next_request_at, wanted.until)
                                  : wanted.next_request_at);
    }
    return next;
}
std::optional<FencingToken> LeaseClient::may_act(Seconds now, const LeaseName& lease) const {
    const auto it = wanted_leases_.find(lease);
    if (it == wanted_leases_.end() || it->second.token == FencingToken{} ||
        now >= it->second.until) {
        return std::nullopt;
    }
    return it->second.token;
}
std::vector<LeaseName> LeaseClient::wanted_leases() const {
    std::vector<LeaseName> names;
    for (const auto& [lease, wanted] : wanted_leases_) {
        names.push_back(lease);
    }
    return names;
}
std::size_t LeaseClient::queue_position(const LeaseName& lease) const {
    const auto it = wanted_leases_.find(lease);
    return it == wanted_leases_.end() ? 0 : it->second.queue_position;
}
std::string LeaseClient::fingerprint(Seconds now) const {
    std::string text = fmt::format("{}|", last_request_.value);
    for (const auto& [lease, wanted] : wanted_leases_) {
        text += fmt::format("{}.{}.{:.3f}.{}.{:.3f}.{:.3f};", lease.value, wanted.token.value,
                            wanted.token > FencingToken{} ? wanted.until - now : 0,
                            wanted.request.value,
                            wanted.request > LeaseRequestId{} ? wanted.requested_at - now : 0,
                            wanted.next_request_at - now);
    }
    return text;
}

}  // namespace tideline::lease
