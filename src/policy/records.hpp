// Plain records of requests, attempts, counts of answers, and the release status. They make no
// decisions.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "policy/types.hpp"

namespace tideline {

// What a repeated request does: nothing; nothing while its fingerprint is recognised; its effect a
// second time.
enum class Effect { idempotent, fingerprinted, side_effecting };
// The endpoints that recognise repeats of each other's requests.
enum class RepeatGroup { all, location, cell };

struct Attempt {
    EndpointInfo endpoint;  // as listed when the attempt was sent
    Seconds sent = 0;
    bool cold = false;  // the endpoint was too young for its answer to be evidence on its build
    bool warm = true;   // the endpoint's slow start was over
    bool ended = false;
    bool may_have_run = true;
    bool recalled = false;  // withdrawn before its first byte was sent
};

struct Request {
    RequestClass request_class;
    TenantId tenant;
    std::optional<ObjectKey> key;
    Seconds received_at = 0;
    Seconds deadline = 0;
    std::vector<Attempt> attempts;  // oldest first
    bool concluded = false;         // the client has its final answer
    bool waiting = false;           // the request is in the queue

    bool in_flight() const {
        return !attempts.empty() && !attempts.back().ended;
    }
    bool may_have_run() const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const Attempt& attempt) { return attempt.may_have_run; });
    }
    bool was_sent_to(const EndpointId& endpoint) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& attempt) { return attempt.endpoint.id == endpoint; });
    }
    AttemptNumber last_attempt() const {
        return {static_cast<int>(attempts.size()) - 1};
    }
    // Returns null if there is no attempt of this number.
    Attempt* find_attempt(AttemptNumber number) {
        const bool known = number.value >= 0 && number.value < static_cast<int>(attempts.size());
        return known ? &attempts[static_cast<std::size_t>(number.value)] : nullptr;
    }
};

// Why a request got its final answer from this sidecar and not from an endpoint.
enum class RejectionReason {
    attempts_used,  // the maximum number of attempts was made
    shed,           // the load shedder rejects a share of the requests while answers are late
    over_quota,     // the tenant exceeds its quota while other requests wait
    no_endpoint,    // no listed endpoint may take the request
    endpoint_list_expired,  // the endpoint list is no longer valid
    paused,                 // this process was paused recently and queues nothing
    too_late,               // waiting any longer would bring no answer within the SLO time
    timed_out,              // the attempt timed out at the deadline of the request
    never_sent,             // the attempt got no connection, and it is too late for another
};
constexpr int kRejectionReasonCount = static_cast<int>(RejectionReason::never_sent) + 1;
// The names of the reasons in logs and counters, in the order of RejectionReason.
constexpr std::array<const char*, kRejectionReasonCount> kRejectionReasonNames = {
    "attempts_used", "shed",     "over_quota", "no_endpoint", "endpoint_list_expired",
    "paused",        "too_late", "timed_out",  "never_sent"};

// A number of answers, and how many of them were bad.
struct Count {
    double seen = 0;
    double bad = 0;
    Count operator+(const Count& other) const {
        return {seen + other.seen, bad + other.bad};
    }
    double share() const {
        return seen > 0 ? bad / seen : 0;
    }
};

// The latest status of the build that is on trial or was just released.
struct ReleaseStatus {
    Build build;
    Stage stage;
    Phase phase = Phase::trial;
    double cap = 0;  // largest share of the requests that the build may get
    Seconds stage_started_at = 0;
    // Whether the build is still judged by the answers to its requests.
    bool is_judged() const {
        return phase == Phase::trial || phase == Phase::released;
    }
};

}  // namespace tideline
