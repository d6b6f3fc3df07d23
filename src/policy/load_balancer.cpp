#include "policy/load_balancer.hpp"

#include <algorithm>
#include <cmath>

namespace tideline {
namespace {

constexpr Seconds kAnswerLifetime = 10;  // older answers say nothing about an endpoint
// The overall response time counts like this many answers of each endpoint.
constexpr double kPriorAnswerCount = 3;
// Cost factor of an endpoint at another location, if crossing locations has a price.
constexpr double kCrossLocationFactor = 1.3;
constexpr double kMinRelativeTime = 0.2;
constexpr double kMinWeight = 1e-3;
constexpr double kMinDraw = 1e-9;  // keeps the logarithm finite

}  // namespace

// The build on trial comes first while its cap has room, then the earlier build. The cap is larger
// than the trial's share of the fleet: if all requests that the rules allow were sent to them, the
// endpoints on trial would be overloaded and the build would look bad. So an endpoint on trial or
// cold is preferred only up to a little over an even share. An endpoint that this request was
// already sent to comes last.
Endpoint* LoadBalancer::pick(Seconds now, const Request& request) {
    Selection selection{now, request, {}, std::nullopt};
    Endpoint* best = nullptr;
    CandidateRank best_rank;
    for (auto& [id, endpoint] : inputs_.endpoints) {
        if (endpoint.health.is_ejected(now) || !endpoint.has_capacity() ||
            !is_allowed(selection, endpoint)) {
            continue;
        }
        const Preference preference_level = preference(selection, endpoint);
        const double in_flight_elsewhere = -std::log(inputs_.random.uniform(kMinDraw, 1));
        const CandidateRank candidate_rank{preference_level,
                                           cost(now, endpoint, in_flight_elsewhere)};
        if (!best || candidate_rank < best_rank) {
            best = &endpoint;
            best_rank = candidate_rank;
        }
    }
    return best;
}

bool LoadBalancer::is_allowed(Selection& selection, Endpoint& endpoint) {
    if (!is_known_ready(selection.now, endpoint) ||
        !inputs_.retry_policy.may_repeat_at(selection.now, selection.request, endpoint.info)) {
        return false;
    }
    if (!is_build_allowed(selection, endpoint.info.build)) {
        return false;
    }
    if (!inputs_.slow_start.is_warming_up(endpoint.info, selection.now)) {
        return true;
    }
    return inputs_.slow_start.within_grant(endpoint.slow_start, selection.now) &&
           inputs_.slow_start.within_own_limit(endpoint.slow_start, endpoint.info,
                                               even_share(selection), selection.now,
                                               inputs_.random);
}

bool LoadBalancer::is_build_allowed(Selection& selection, Build build) {
    const auto known = selection.builds_allowed.find(build);
    if (known != selection.builds_allowed.end()) {
        return known->second;
    }
    const bool allowed = inputs_.exposure.decide(selection.now, selection.request, build) ==
                         ExposureDecision::allowed;
    selection.builds_allowed.emplace(build, allowed);
    return allowed;
}

double LoadBalancer::even_share(Selection& selection) const {
    if (!selection.even_share) {
        selection.even_share =
            inputs_.slow_start.even_share(selection.now, inputs_.endpoints.max_ready_count());
    }
    return *selection.even_share;
}

LoadBalancer::Preference LoadBalancer::preference(Selection& selection, Endpoint& endpoint) {
    const bool trial = inputs_.exposure.is_on_trial(endpoint.info.build);
    const bool is_limited = trial || inputs_.slow_start.is_warming_up(endpoint.info, selection.now);
    const bool over_initial_load =
        is_limited && !inputs_.slow_start.within_initial_load(endpoint.slow_start, endpoint.info,
                                                              even_share(selection), selection.now,
                                                              inputs_.random);
    if (selection.request.was_sent_to(endpoint.info.id)) {
        return Preference::attempted_before;
    }
    if (over_initial_load) {
        return Preference::beyond_initial_load;
    }
    return trial && selection.request.attempts.empty() ? Preference::trial : Preference::normal;
}

// The attempts that other sidecars have in flight at an endpoint are not known. A draw from an
// exponential distribution with mean 1 stands for them, so that sidecars with nothing in flight
// don't all pick the same endpoint but spread over the endpoints by their capacity.
double LoadBalancer::cost(Seconds now, const Endpoint& endpoint, double in_flight_elsewhere) const {
    const EndpointInfo& info = endpoint.info;
    const bool is_remote =
        info.location != inputs_.settings.location && inputs_.settings.cross_location_costs;
    const double location_factor = is_remote ? kCrossLocationFactor : 1;
    const double time = std::max(kMinRelativeTime, expected_time(now, endpoint));
    const double load = endpoint.in_flight + in_flight_elsewhere;
    const double weighted_capacity =
        std::max(kMinWeight, info.weight) * inputs_.slow_start.capacity(info, now);
    return load * time * time * location_factor / weighted_capacity;
}

// The relative response time to expect. A sidecar with little traffic would stay with the endpoint
// whose single answer was fastest, so few or old answers are averaged with the overall response
// time.
double LoadBalancer::expected_time(Seconds now, const Endpoint& endpoint) const {
    const double overall_time =
        inputs_.response_times.empty() ? 1 : inputs_.response_times.recent_relative();
    const bool answers_expired = now - endpoint.health.last_answer_time() > kAnswerLifetime;
    const double answers =
        answers_expired ? 0 : static_cast<double>(endpoint.concurrency.recent_answers());
    return (answers * endpoint.concurrency.recent_time() + kPriorAnswerCount * overall_time) /
           (answers + kPriorAnswerCount);
}

// A process that has just started waits for its first list, which may arrive in time.
bool LoadBalancer::has_possible_endpoint(Seconds now, const Request& request) const {
    const bool first_list_read = inputs_.freshness.confirmed_at().has_value();
    return std::any_of(inputs_.endpoints.begin(), inputs_.endpoints.end(), [&](const auto& entry) {
        const EndpointInfo& info = entry.second.info;
        const bool ready = first_list_read ? is_known_ready(now, entry.second)
                                           : info.state == EndpointState::ready;
        return ready && inputs_.retry_policy.may_repeat_at(now, request, info) &&
               !inputs_.exposure.is_closed(info.build);
    });
}

// A list that can't be confirmed loses its validity: an endpoint that it lists as ready gets no new
// attempts once its removal would count as notified for longer than the grace. That the endpoint
// still accepts requests proves nothing, since draining endpoints do so for seconds.
bool LoadBalancer::is_known_ready(Seconds now, const Endpoint& endpoint) const {
    return endpoint.info.state == EndpointState::ready && !inputs_.freshness.expired(now);
}

}  // namespace tideline
