// Decides whether a request may be attempted again, and at which endpoint, without the risk that
// its effect happens twice. Requests are never hedged: a retry begins only after the attempt before
// it has ended.
#pragma once

#include "policy/policy_settings.hpp"
#include "policy/records.hpp"

namespace tideline {

enum class RepeatDecision {
    allowed,
    side_effect,       // repeats of such a request are never recognised
    window_over,       // a repeat might arrive when it is no longer recognised
    outside_location,  // repeats are recognised only at the location of the earlier attempts
    outside_cell,      // repeats are recognised only in the cell of the earlier attempts
};

class RetryPolicy {
  public:
    explicit RetryPolicy(const PolicySettings& settings) : settings_(settings) {}

    bool attempts_used(const Request& request) const {
        return static_cast<int>(request.attempts.size()) >= settings_.max_attempts;
    }
    RepeatDecision decide(Seconds now, const Request& request, const EndpointInfo& endpoint) const;
    bool may_repeat_at(Seconds now, const Request& request, const EndpointInfo& endpoint) const {
        return decide(now, request, endpoint) == RepeatDecision::allowed;
    }
    // Whether the client may safely send the request again after a rejection.
    bool safe_to_reject(const Request& request) const {
        return settings_.of(request.request_class).effect == Effect::idempotent ||
               !request.may_have_run();
    }

  private:
    const PolicySettings& settings_;
};

}  // namespace tideline
