// ReplicationAgent: the calls between the sidecar and the effect log client.

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "cluster/replication_agent.hpp"
#include "cluster/replication_agent_keys.hpp"
#include "lease/clock.hpp"

namespace tideline::cluster {

using lease::boottime_now;

void ReplicationAgent::before_attempt(const net::AtMostOnceRequest& what, AttemptNumber attempt,
                                      const EndpointId& endpoint) {
    replication::GuardedRequest guarded;
    guarded.request = what.request;
    guarded.idempotent = what.idempotent;
    guarded.key = key_of({"effect", what.request_class, what.tenant, what.fingerprint});
    guarded.content = XXH3_64bits(what.statement.data(), what.statement.size());
    const Seconds now = boottime_now();
    guarded.deadline = now + (what.deadline - net::clock_now());
    const EndpointInfo* info = owner_.find_endpoint(endpoint);
    effect_log_.before_attempt(now, guarded, attempt, info ? info->location : Location{},
                               info ? info->cell : Cell{});
    schedule_tick();
}

void ReplicationAgent::attempt_ended(RequestId request, AttemptNumber attempt, Outcome outcome,
                                     std::string_view answer) {
    effect_log_.attempt_ended(boottime_now(), request, attempt,
                              replication::attempt_outcome_of(outcome),
                              outcome == Outcome::succeeded ? std::string(answer) : std::string{});
    schedule_tick();
}

void ReplicationAgent::request_ended(RequestId request) {
    effect_log_.request_ended(boottime_now(), request);
    schedule_tick();
}

// The calls to the sidecar are deferred to the event loop, because the sidecar may call back
// immediately.
void ReplicationAgent::on_cleared(RequestId request, AttemptNumber attempt) {
    loop_.timers.soon([this, request, attempt] { sidecar_->attempt_cleared(request, attempt); });
}

void ReplicationAgent::on_rejected(RequestId request, Seconds retry_after) {
    loop_.timers.soon(
        [this, request, retry_after] { sidecar_->attempt_refused(request, retry_after); });
}

void ReplicationAgent::on_deferred(RequestId request) {
    loop_.timers.soon([this, request] { sidecar_->attempt_deferred(request); });
}

void ReplicationAgent::on_answer_found(RequestId request, const std::string& answer) {
    loop_.timers.soon([this, request, answer] { sidecar_->answer_found(request, answer); });
}

void ReplicationAgent::on_returned_to_policy(
    RequestId request, const std::vector<replication::AttemptRecord>& earlier) {
    std::vector<Attempt> attempts;
    const Seconds now = boottime_now();
    const Seconds clock = net::clock_now();
    Seconds oldest_age = 0;
    for (const replication::AttemptRecord& each : earlier) {
        Attempt converted;
        converted.endpoint.location = each.location;
        converted.endpoint.cell = each.cell;
        converted.sent = clock - (now - each.sent_at);
        converted.ended = true;
        converted.may_have_run = true;
        oldest_age = std::max(oldest_age, now - each.sent_at);
        attempts.push_back(std::move(converted));
    }
    if (!earlier.empty()) {
        log_.line("request routed again: earlier_attempts={} oldest_age_s={:.1f}", earlier.size(),
                  oldest_age);
    }
    loop_.timers.soon([this, request, attempts = std::move(attempts)] {
        sidecar_->request_returned(request, attempts);
    });
}

void ReplicationAgent::on_effect_unknown(RequestId request) {
    loop_.timers.soon([this, request] { sidecar_->effect_unknown(request); });
}

}  // namespace tideline::cluster
