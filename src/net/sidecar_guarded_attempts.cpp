// Attempts of requests that must not take effect twice: the duplicate-effect guard decides whether
// each of them may be sent.
#include "net/check_invariant.hpp"
#include "net/sidecar.hpp"

namespace tideline::net {

void Sidecar::request_effect_clearance(RequestId request, const OpenRequest& open,
                                       AttemptNumber number, const EndpointId& endpoint,
                                       Seconds stop_at) {
    guarded_attempts_[request] = {number, endpoint, stop_at, clock_now()};
    AtMostOnceRequest guarded;
    guarded.request = request;
    guarded.deadline = open.deadline;
    guarded.tenant = open.tenant_name;
    guarded.fingerprint = open.fingerprint;
    for (const auto& [name, request_class] : request_classes_) {
        if (request_class == open.request_class) {
            guarded.request_class = name;
        }
    }
    // The comment in the statement holds the id of this request and its time budget, which differ
    // between repeats.
    guarded.statement = std::string_view(open.statement).substr(0, open.statement.find("/*"));
    guarded.idempotent = open.effect == Effect::fingerprinted;
    effect_guard_->before_attempt(guarded, number, endpoint);
}

std::optional<Sidecar::GuardedAttempt> Sidecar::take_guarded_attempt(RequestId request) {
    const auto found = guarded_attempts_.find(request);
    if (found == guarded_attempts_.end()) {
        return std::nullopt;
    }
    const GuardedAttempt attempt = found->second;
    guarded_attempts_.erase(found);
    return attempt;
}

// Ends an attempt that was not sent. `concluded` tells the routing policy whether the request is
// concluded.
void Sidecar::end_unsent_attempt(RequestId request, const GuardedAttempt& attempt, bool concluded) {
    OpenRequest* open = requests_.find(request);
    if (!check_invariant(open != nullptr,
                         "an attempt that awaits the effect guard has an open request")) {
        return;
    }
    --open->attempts_in_flight;
    ++counters_.outcomes[Outcome::never_sent];
    policy_->attempt_ended(decision_time(), request, attempt.number, attempt.endpoint,
                           Outcome::never_sent, clock_now() - attempt.asked_at, concluded, {});
    forget_if_done(request);
}

void Sidecar::attempt_cleared(RequestId request, AttemptNumber number) {
    const auto found = guarded_attempts_.find(request);
    OpenRequest* open = requests_.find(request);
    if (found == guarded_attempts_.end() || found->second.number != number || open == nullptr) {
        return;
    }
    const GuardedAttempt attempt = *take_guarded_attempt(request);
    const Seconds now = decision_time();
    // The endpoint may have started to drain, or the exposure cap of its build may have been
    // lowered, so the policy is asked again, as for any attempt that had to wait.
    const bool in_time = now < std::min(attempt.stop_at, open->deadline);
    if (in_time && policy_->may_still_send(now, request, number)) {
        return send(request, *open, number, attempt.endpoint, attempt.stop_at);
    }
    ++counters_.recalled;
    effect_guard_->attempt_ended(request, number, Outcome::never_sent, {});
    end_unsent_attempt(request, attempt, open->concluded);
}

void Sidecar::attempt_refused(RequestId request, Seconds retry_after) {
    const auto attempt = take_guarded_attempt(request);
    const OpenRequest* open = requests_.find(request);
    if (!attempt || !open) {
        return;
    }
    if (!open->concluded) {
        reject(request, retry_after);
    }
    end_unsent_attempt(request, *attempt, true);
}

void Sidecar::attempt_deferred(RequestId request) {
    const auto attempt = take_guarded_attempt(request);
    if (!attempt || !requests_.find(request)) {
        return;
    }
    // The routing policy treats the request as concluded, because its result now depends on another
    // sidecar's attempt.
    end_unsent_attempt(request, *attempt, true);
}

void Sidecar::answer_found(RequestId request, std::string_view answer) {
    if (requests_.find_waiting(request)) {
        conclude(request, answer);
    }
}

void Sidecar::request_returned(RequestId request, const std::vector<Attempt>& earlier) {
    OpenRequest* open = requests_.find_waiting(request);
    if (!open) {
        return;
    }
    open->attempts = static_cast<int>(earlier.size());
    const Seconds now = decision_time();
    policy_->request_handed_over(now, request, open->request_class, open->tenant, open->key,
                                 open->deadline - now, earlier);
}

void Sidecar::effect_unknown(RequestId request) {
    if (requests_.find_waiting(request)) {
        fail(request);
    }
}

}  // namespace tideline::net
