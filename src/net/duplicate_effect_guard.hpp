// Prevents a request from taking effect twice when a client repeats it at another sidecar. The
// sidecar asks the guard before it sends an attempt of such a request and reports the outcome to
// it. A sidecar outside a cluster has no guard. All calls come from the event loop's thread.
#pragma once

#include <string_view>

#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// A request that must not take effect twice. The names are those that the client sent. The views
// are valid only during the call that passes the request.
struct AtMostOnceRequest {
    RequestId request;
    std::string_view request_class;
    std::string_view tenant;
    std::string_view fingerprint;
    std::string_view statement;  // without the comment, which differs between repeats of a request
    bool idempotent = false;     // endpoints recognise a repeat by its fingerprint
    Seconds deadline = 0;
};

class DuplicateEffectGuard {
  public:
    virtual ~DuplicateEffectGuard() = default;
    // Asks whether the attempt may be sent. The decision is never made within the call; it is
    // reported later through ObservedSidecar::attempt_cleared, attempt_refused or attempt_deferred.
    virtual void before_attempt(const AtMostOnceRequest& request, AttemptNumber attempt,
                                const EndpointId& endpoint) = 0;
    // Reports the outcome of a cleared attempt; `answer` is empty unless the attempt succeeded.
    virtual void attempt_ended(RequestId request, AttemptNumber attempt, Outcome outcome,
                               std::string_view answer) = 0;
    // Reports that the request was answered or abandoned and that none of its attempts is in
    // flight.
    virtual void request_ended(RequestId request) = 0;
};

}  // namespace tideline::net
