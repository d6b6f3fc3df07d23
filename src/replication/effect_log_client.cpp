#include "replication/effect_log_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace tideline::replication {
namespace {

// A waiting request is answered this long before its deadline.
constexpr Seconds kReplyMargin = 0.02;
// Bits of a request number that count the requests of one incarnation.
constexpr unsigned kRequestBitsPerIncarnation = 24;

std::uint64_t first_request_number(const Incarnation& incarnation) {
    return incarnation.value << kRequestBitsPerIncarnation;
}

}  // namespace

AttemptOutcome attempt_outcome_of(Outcome outcome) {
    switch (outcome) {
        case Outcome::succeeded:
            return AttemptOutcome::answered;
        case Outcome::overloaded:
        case Outcome::unreachable:
        case Outcome::never_sent:
            return AttemptOutcome::not_run;
        default:
            return AttemptOutcome::may_have_run;
    }
}

EffectLogClient::EffectLogClient(EffectLogClientHost& host, const EffectLogClientSettings& settings,
                                 const Name& self, const Incarnation& incarnation, Seconds now)
    : host_(&host),
      settings_(settings),
      self_(self),
      incarnation_(incarnation),
      primary_requests_(first_request_number(incarnation), settings.claim_timeout),
      owner_liveness_(self, incarnation, now, settings.unknown_member_timeout),
      notifications_(settings) {}
EffectLogClient::EffectLogClient(const EffectLogClient& other, EffectLogClientHost& host)
    : EffectLogClient(other) {
    host_ = &host;
}

void EffectLogClient::apply_table(Seconds now, const ReplicaTable& table) {
    if (!primary_requests_.apply_table(table)) {
        return;
    }
    // Requests that wait for a former primary are resent to its successor at once.
    for (auto& [request, open] : open_requests_) {
        if (open.phase != Phase::routing) {
            open.resend_at = now;
        }
    }
    notifications_.resend_all(now);
}

void EffectLogClient::update_member(Seconds, const Name& name, const Incarnation& incarnation,
                                    bool gone) {
    owner_liveness_.update_member(name, incarnation, gone);
}

void EffectLogClient::before_attempt(Seconds now, const GuardedRequest& guarded,
                                     AttemptNumber number, Location location, Cell cell) {
    OpenRequest& open = open_requests_[guarded.request];
    open.guarded = guarded;
    open.phase = Phase::claiming;
    open.policy_attempt_number = number;
    open.attempt = {{self_, incarnation_, guarded.request.value},
                    open.next_attempt_number++,
                    AttemptOutcome::in_flight,
                    location,
                    cell,
                    now};
    open.claimed_at = now;
    forget_sent_requests(open);
    send_to_primary(now, open);
}

// Sends the claim to the primary, or reads the record while the request waits for an attempt of
// another claimant.
void EffectLogClient::send_to_primary(Seconds now, OpenRequest& open) {
    const Key& key = open.guarded.key;
    const Name* const primary = primary_requests_.primary_of(key);
    open.resend_at = now + (open.phase == Phase::polling
                                ? std::max(settings_.poll_interval, settings_.resend_interval)
                                : settings_.resend_interval);
    if (!primary) {
        return host_->request_table(TableVersion{primary_requests_.table_version().value + 1});
    }
    open.last_request_number = primary_requests_.begin_request(now, *primary);
    sent_requests_[open.last_request_number] = {open.guarded.request, now};
    open.sent_request_numbers.push_back(open.last_request_number);
    if (open.phase == Phase::polling) {
        host_->send_read(*primary, open.last_request_number, key);
    } else {
        host_->send_claim(*primary, open.last_request_number, key, open.guarded.content,
                          open.attempt, open.known_version);
    }
}

// Forgets the messages that were sent for the request: replies to them no longer count.
void EffectLogClient::forget_sent_requests(OpenRequest& open) {
    for (const RequestNumber number : open.sent_request_numbers) {
        sent_requests_.erase(number);
    }
    open.sent_request_numbers.clear();
}

// Handles a claim that was not granted in time: depending on the settings, the attempt is sent
// without being replicated, or the request is rejected. A rejection also withdraws the claim,
// because it may have been granted although no reply arrived.
void EffectLogClient::fail_claim(Seconds now, OpenRequest& open) {
    forget_sent_requests(open);
    if (!std::exchange(alarm_raised_, true)) {
        host_->on_alarm(fmt::format("replication too slow: requests={}",
                                    settings_.allow_unreplicated ? "unreplicated" : "rejected"));
    }
    const RequestId request = open.guarded.request;
    if (settings_.allow_unreplicated) {
        ++unreplicated_;
        open.phase = Phase::routing;
        open.sent_attempts[open.policy_attempt_number] = open.attempt;
        return host_->on_cleared(request, open.policy_attempt_number);
    }
    reject_request(now, open);
}

// Rejects a request whose record may have been lost with all replicas. The request may have run
// before, so no attempt is sent, even if the settings allow attempts that are not replicated.
void EffectLogClient::fail_for_lost_data(Seconds now, OpenRequest& open) {
    forget_sent_requests(open);
    if (!std::exchange(lost_data_alarm_raised_, true)) {
        host_->on_alarm("replicas lost: requests=rejected");
    }
    reject_request(now, open);
}

void EffectLogClient::reject_request(Seconds now, OpenRequest& open) {
    const RequestId request = open.guarded.request;
    ++rejected_;
    withdraw_claim(now, open);
    open_requests_.erase(request);
    host_->on_rejected(request, settings_.retry_after);
}

// Settles the newest attempt as not run. Its claim may still be granted, and the attempt would then
// look as if it were in flight.
void EffectLogClient::withdraw_claim(Seconds now, const OpenRequest& open) {
    AttemptRecord attempt = open.attempt;
    attempt.outcome = AttemptOutcome::not_run;
    notifications_.settle(now, open.guarded.key, attempt, {}, primary_requests_, *host_);
}

void EffectLogClient::attempt_ended(Seconds now, RequestId request, AttemptNumber number,
                                    AttemptOutcome outcome, const std::string& answer) {
    const auto open = open_requests_.find(request);
    if (open == open_requests_.end()) {
        return;
    }
    const auto sent = open->second.sent_attempts.find(number);
    if (sent == open->second.sent_attempts.end()) {
        return;
    }
    AttemptRecord attempt = sent->second;
    attempt.outcome = outcome;
    open->second.sent_attempts.erase(sent);
    notifications_.settle(now, open->second.guarded.key, attempt, answer, primary_requests_,
                          *host_);
}

void EffectLogClient::request_ended(Seconds now, RequestId request) {
    const auto open = open_requests_.find(request);
    if (open == open_requests_.end()) {
        return;
    }
    if (open->second.phase != Phase::routing) {
        withdraw_claim(now, open->second);
    }
    forget_sent_requests(open->second);
    open_requests_.erase(open);
}

void EffectLogClient::store_bytes(Seconds now, const Key& key, const std::string& bytes) {
    notifications_.store_bytes(now, key, bytes, primary_requests_, *host_);
}

void EffectLogClient::read(Seconds now, const Key& key) {
    notifications_.read(now, key, primary_requests_, *host_);
}

void EffectLogClient::tick(Seconds now) {
    std::vector<RequestId> waiting;
    for (const auto& [request, open] : open_requests_) {
        if (open.phase != Phase::routing) {
            waiting.push_back(request);
        }
    }
    for (const RequestId request : waiting) {
        if (const auto open = open_requests_.find(request); open != open_requests_.end()) {
            expire_or_resend_request(now, open->second);
        }
    }
    notifications_.tick(now, primary_requests_, *host_);
}

// Ends the request if its time is up, or resends its message to the primary if that is due. May
// erase `open`.
void EffectLogClient::expire_or_resend_request(Seconds now, OpenRequest& open) {
    const Seconds answer_at = open.guarded.deadline - kReplyMargin;
    if (open.phase == Phase::claiming &&
        now >= std::min(open.claimed_at + settings_.claim_timeout, answer_at)) {
        fail_claim(now, open);
    } else if (open.phase == Phase::polling && now >= answer_at) {
        const RequestId request = open.guarded.request;
        forget_sent_requests(open);
        withdraw_claim(now, open);
        open_requests_.erase(request);
        host_->on_effect_unknown(request);
    } else if (now >= open.resend_at) {
        send_to_primary(now, open);
    }
}

Seconds EffectLogClient::due() const {
    Seconds next = std::numeric_limits<double>::infinity();
    for (const auto& [request, open] : open_requests_) {
        if (open.phase == Phase::routing) {
            continue;
        }
        next = std::min({next, open.resend_at, open.guarded.deadline - kReplyMargin});
        if (open.phase == Phase::claiming) {
            next = std::min(next, open.claimed_at + settings_.claim_timeout);
        }
    }
    return std::min(next, notifications_.due());
}

std::set<Name> EffectLogClient::silent_primaries(Seconds now) const {
    return primary_requests_.silent_primaries(now);
}

std::string EffectLogClient::state() const {
    std::string text;
    for (const auto& [request, open] : open_requests_) {
        text += fmt::format("i{}.{}.{}.{}{}", request.value, static_cast<int>(open.phase),
                            open.attempt.number,
                            open.last_request_number.value - first_request_number(incarnation_),
                            open.known_version ? "k" : "");
        for (const RequestNumber number : open.sent_request_numbers) {
            text += fmt::format("s{}{}", number.value - first_request_number(incarnation_),
                                sent_requests_.contains(number) ? "" : "-");
        }
    }
    text += notifications_.state();
    for (const Name& name : owner_liveness_.gone_members()) {
        text += "g" + name.value;
    }
    return text;
}

}  // namespace tideline::replication
