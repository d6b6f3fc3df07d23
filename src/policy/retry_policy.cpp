#include "policy/retry_policy.hpp"

#include "policy/delay_bounds.hpp"

namespace tideline {

RepeatDecision RetryPolicy::decide(Seconds now, const Request& request,
                                   const EndpointInfo& endpoint) const {
    const RequestClassSettings& request_class = settings_.of(request.request_class);
    if (request_class.effect == Effect::idempotent || !request.may_have_run()) {
        return RepeatDecision::allowed;
    }
    if (request_class.effect == Effect::side_effecting) {
        return RepeatDecision::side_effect;
    }
    const RepeatGroup group = request_class.repeat_group;
    for (const Attempt& attempt : request.attempts) {
        if (!attempt.may_have_run) {
            continue;
        }
        // The repeat has to arrive within the window, not only to be decided within it.
        if (now + kMaxSendDelay > attempt.sent + request_class.repeat_window) {
            return RepeatDecision::window_over;
        }
        if (group == RepeatGroup::location && endpoint.location != attempt.endpoint.location) {
            return RepeatDecision::outside_location;
        }
        if (group == RepeatGroup::cell && endpoint.cell != attempt.endpoint.cell) {
            return RepeatDecision::outside_cell;
        }
    }
    return RepeatDecision::allowed;
}

}  // namespace tideline
