// Records of requests, attempts, counted answers and the release. Nothing is decided here.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include "policy/types.hpp"

namespace tideline {

// What happens when a request is run twice: nothing; nothing while the repeat is recognised by its
// fingerprint; the effect happens twice.
enum class Effect { idempotent, fingerprinted, side_effecting };
// The endpoints that recognise a repeat of each other's requests.
enum class Group { all, location, cell };

struct Attempt {
    EndpointInfo endpoint;  // as listed when it was sent
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
    bool waiting = false;           // in the queue

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
    // Null where there is no attempt of this number.
    Attempt* find_attempt(AttemptNumber number) {
        const bool known = number.value >= 0 && number.value < static_cast<int>(attempts.size());
        return known ? &attempts[static_cast<std::size_t>(number.value)] : nullptr;
    }
};

// Why a request got its final answer from this sidecar and not from an endpoint.
enum class RejectionReason {
    attempts_used,          // the most attempts allowed were made
    shed,                   // a share of the requests is shed while answers come late
    over_quota,             // its tenant exceeds its quota while others wait
    no_endpoint,            // no listed endpoint may take it
    endpoint_list_expired,  // the endpoint list is not valid any more
    paused,                 // this process was paused a moment ago and queues nothing
    too_late,               // waiting longer would bring no answer within the SLO time
    timed_out,              // its attempt timed out at its deadline
    never_sent,             // its attempt ended without a connection, too late for another
};
constexpr int kRejectionReasons = static_cast<int>(RejectionReason::never_sent) + 1;
// In the order of RejectionReason; the names of logs and counters.
constexpr std::array<const char*, kRejectionReasons> kRejectionReasonNames = {
    "attempts_used", "shed",     "over_quota", "no_endpoint", "endpoint_list_expired",
    "paused",        "too_late", "timed_out",  "never_sent"};

// Answers counted for or against a build.
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

// The newest status of the build on trial, or just released.
struct ReleaseStatus {
    Build build;
    Stage stage;
    Phase phase = Phase::trial;
    double cap = 0;                // share of the requests that the build may get
    Seconds stage_started_at = 0;  // start of the stage
    bool is_judged() const {
        return phase == Phase::trial || phase == Phase::released;
    }
};

}  // namespace tideline
