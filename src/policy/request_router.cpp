#include "policy/request_router.hpp"

#include <utility>

namespace tideline {

void RequestRouter::request_arrived(Seconds now, const NewRequest& request) {
    if (!modules_.settings.knows(request.request_class)) {
        return;
    }
    modules_.exposure.request_received(now, request.request_class);
    modules_.admission.request_received(now, request.tenant);
    request_handed_over(now, request);
}

void RequestRouter::request_handed_over(Seconds now, const NewRequest& arrival) {
    if (!modules_.settings.knows(arrival.request_class)) {
        return;
    }
    Request request;
    request.attempts = arrival.earlier_attempts;
    request.request_class = arrival.request_class;
    request.tenant = arrival.tenant;
    request.key = arrival.key;
    request.received_at = now;
    request.deadline = now + arrival.budget;
    dispatch(now, arrival.id, requests_.add(arrival.id, std::move(request)));
}

// Sends the request, queues it if an endpoint may be free in time, or rejects it.
void RequestRouter::dispatch(Seconds now, RequestId id, Request& request) {
    const AdmissionDecision admission = modules_.admission.decide(now, request, requests_);
    if (!admission.is_admitted()) {
        return reject(id, request, admission.reason());
    }
    const bool may_skip_queue = !request.attempts.empty() || requests_.queue_empty();
    Endpoint* endpoint = may_skip_queue ? modules_.balancer.pick(now, request) : nullptr;
    if (endpoint) {
        return send(now, id, request, *endpoint);
    }
    const AdmissionDecision queueing = enqueue(now, id, request);
    if (!queueing.is_admitted()) {
        reject(id, request, queueing.reason());
    }
}

AdmissionDecision RequestRouter::enqueue(Seconds now, RequestId id, Request& request) {
    if (!modules_.balancer.has_possible_endpoint(now, request)) {
        return AdmissionDecision::rejected(modules_.discovery.freshness().expired(now)
                                               ? RejectionReason::endpoint_list_expired
                                               : RejectionReason::no_endpoint);
    }
    const AdmissionDecision queueing = modules_.admission.decide_queueing(now);
    if (!queueing.is_admitted()) {
        return queueing;
    }
    modules_.judge.pressure_seen(now);
    const AdmissionDecision wait = modules_.admission.decide_wait(now, request, requests_);
    if (wait.is_admitted()) {
        requests_.enqueue(id, request);
        modules_.timer.fire_within(now, kTickInterval);
    }
    return wait;
}

void RequestRouter::send(Seconds now, RequestId id, Request& request, Endpoint& endpoint) {
    const SlowStart& slow_start = modules_.slow_start;
    Attempt attempt;
    attempt.endpoint = endpoint.info;
    attempt.sent = now;
    attempt.warm = !slow_start.is_warming_up(endpoint.info, now);
    attempt.cold = slow_start.is_too_young_for_evidence(endpoint.info, now);
    request.attempts.push_back(attempt);
    request.waiting = false;
    ++endpoint.in_flight;
    slow_start.attempt_sent(endpoint.slow_start, now);
    modules_.judge.attempt_sent(now);
    modules_.exposure.attempt_sent(now, request.request_class, endpoint.info.build);
    modules_.host.attempt(id, endpoint.info.id, request.deadline);
}

void RequestRouter::reject(RequestId id, Request& request, RejectionReason reason) {
    rejections_.count(reason);
    request.concluded = true;
    if (modules_.retry_policy.safe_to_reject(request)) {
        modules_.host.reject(id, modules_.admission.retry_after());
    } else {
        modules_.host.fail(id);
    }
    if (!request.in_flight()) {
        requests_.erase(id);
    }
}

void RequestRouter::serve_queue(Seconds now) {
    if (requests_.queue_empty()) {
        return;
    }
    const auto queue = requests_.take_queue(
        [this](const Request& request) { return modules_.admission.value(request); });
    for (const RequestId id : queue) {
        Request& request = *requests_.find(id);
        if (Endpoint* endpoint = modules_.balancer.pick(now, request)) {
            send(now, id, request, *endpoint);
        } else if (now > modules_.admission.latest_useful_send(request)) {
            reject(id, request, RejectionReason::too_late);
        } else if (modules_.discovery.freshness().expired(now) &&
                   !modules_.balancer.has_possible_endpoint(now, request)) {
            reject(id, request, RejectionReason::endpoint_list_expired);
        } else {
            requests_.requeue(id);
        }
    }
}

void RequestRouter::attempt_ended(Seconds now, const AttemptEnd& end) {
    Request* request = requests_.find(end.request);
    Attempt* attempt = request ? request->find_attempt(end.number) : nullptr;
    if (!attempt || attempt->ended || attempt->endpoint.id != end.endpoint) {
        return;
    }
    attempt->ended = true;
    attempt->may_have_run = may_have_run(end.outcome);
    Endpoint& endpoint = modules_.endpoints.find_or_add(attempt->endpoint.id);
    endpoint.attempt_ended();
    if (end.outcome == Outcome::succeeded) {
        count_success(now, *request, *attempt, endpoint, end.took);
    } else if (end.outcome == Outcome::timed_out) {
        modules_.response_times.attempt_timed_out(request->request_class, end.took);
    }
    update_health(now, endpoint, *attempt, end.outcome);
    modules_.judge.attempt_ended(now, *request, *attempt, end.outcome, end.took);
    modules_.admission.attempt_ended(*request, end.outcome, now);
    request->concluded = request->concluded || end.concluded;
    continue_request(now, end.request, *request, *attempt, end.outcome);
    serve_queue(now);
}

void RequestRouter::count_success(Seconds now, const Request& request, const Attempt& attempt,
                                  Endpoint& endpoint, Seconds took) {
    ResponseTimes& times = modules_.response_times;
    times.attempt_answered(request.request_class, took);
    endpoint.concurrency.attempt_answered(times.relative(request.request_class, took),
                                          endpoint.in_flight);
    modules_.slow_start.request_served(now);
    modules_.admission.request_served(now);
    modules_.exposure.request_answered(request, attempt.endpoint.build);
}

void RequestRouter::update_health(Seconds now, Endpoint& endpoint, const Attempt& attempt,
                                  Outcome outcome) {
    switch (outcome) {
        case Outcome::succeeded:
            return endpoint.health.attempt_succeeded(now);
        case Outcome::failed:
        case Outcome::malformed:
            if (endpoint.health.attempt_failed(now)) {
                eject(now, endpoint, EjectionReason::consecutive_failures);
            }
            return;
        case Outcome::overloaded:
            return endpoint.health.attempt_rejected(now, modules_.random);
        case Outcome::unreachable:
            return eject(now, endpoint, EjectionReason::unreachable);
        case Outcome::broken:
            return eject(now, endpoint, EjectionReason::connection_broken);
        case Outcome::timed_out:
            // After a pause of this process, its own delay looks like silence of the endpoint.
            if (endpoint.health.last_answer_time() <= attempt.sent &&
                !modules_.pauses.paused_since(attempt.sent)) {
                eject(now, endpoint, EjectionReason::no_answer);
            }
            return;
        case Outcome::cancelled:
        case Outcome::never_sent:
            return;
    }
}

void RequestRouter::eject(Seconds now, Endpoint& endpoint, EjectionReason reason) {
    const EjectionLog log = endpoint.health.eject(now, modules_.settings.sidecars, modules_.random);
    if (log == EjectionLog::write) {
        modules_.host.log_event("endpoint ejected: id=" + endpoint.info.id.value +
                                " reason=" + ejection_reason_name(reason));
    }
}

// Decides what follows the end of an attempt: the request is complete, is rejected, or is attempted
// again.
void RequestRouter::continue_request(Seconds now, RequestId id, Request& request,
                                     const Attempt& attempt, Outcome outcome) {
    if (request.concluded) {
        return requests_.erase(id);
    }
    if (outcome == Outcome::never_sent && !attempt.recalled) {
        return reject(id, request, RejectionReason::never_sent);
    }
    if (outcome == Outcome::timed_out && now >= request.deadline - kTickInterval) {
        return reject(id, request, RejectionReason::timed_out);
    }
    dispatch(now, id, request);
}

void RequestRouter::stream_started(Seconds now, RequestId id, AttemptNumber number) {
    Request* request = requests_.find(id);
    const Attempt* attempt = request ? request->find_attempt(number) : nullptr;
    if (attempt) {
        modules_.endpoints.find_or_add(attempt->endpoint.id).health.response_started(now);
    }
}

bool RequestRouter::may_still_send(Seconds now, RequestId id, AttemptNumber number) {
    Request* request = requests_.find(id);
    Attempt* last = request ? request->find_attempt(number) : nullptr;
    if (last == nullptr || request->concluded || number != request->last_attempt()) {
        return false;
    }
    Attempt& attempt = *last;
    const Endpoint& endpoint = modules_.endpoints.find_or_add(attempt.endpoint.id);
    const EndpointInfo& info = endpoint.info;
    attempt.may_have_run = false;  // not sent yet, so only earlier attempts decide
    const bool may_repeat = modules_.retry_policy.may_repeat_at(now, *request, info);
    attempt.may_have_run = true;
    const bool same_endpoint =
        info.build == attempt.endpoint.build && info.started == attempt.endpoint.started;
    attempt.recalled = !modules_.balancer.is_known_ready(now, endpoint) || !same_endpoint ||
                       !may_repeat || modules_.exposure.recalls(info.build, attempt.sent);
    return !attempt.recalled && now < request->deadline;
}

void RequestRouter::request_abandoned(RequestId id) {
    Request* request = requests_.find(id);
    if (!request) {
        return;
    }
    request->concluded = true;
    request->waiting = false;
    if (!request->in_flight()) {
        requests_.erase(id);
    }
}

}  // namespace tideline
