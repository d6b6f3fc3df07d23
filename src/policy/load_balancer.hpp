// Picks the endpoint for an attempt: the one with the lowest cost among those that the rules allow.
#pragma once

#include <map>
#include <optional>

#include "policy/endpoint_list_freshness.hpp"
#include "policy/endpoint_set.hpp"
#include "policy/exposure_cap.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/response_times.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"

namespace tideline {

// The rules and the state that a selection depends on. All of it outlives the balancer.
struct LoadBalancerInputs {
    const PolicySettings& settings;
    EndpointSet& endpoints;
    const EndpointListFreshness& freshness;
    const ResponseTimes& response_times;
    const RetryPolicy& retry_policy;
    const SlowStart& slow_start;
    ExposureCap& exposure;
    RandomSource& random;
};

class LoadBalancer {
  public:
    explicit LoadBalancer(const LoadBalancerInputs& inputs) : inputs_(inputs) {}

    // Returns null if no endpoint may take the request now.
    Endpoint* pick(Seconds now, const Request& request);
    // Whether some listed endpoint could take the request once it has capacity.
    bool has_possible_endpoint(Seconds now, const Request& request) const;
    // Whether the endpoint is listed as ready and the list is still valid.
    bool is_known_ready(Seconds now, const Endpoint& endpoint) const;

  private:
    // In order of preference, the most preferred first.
    enum class Preference { trial, normal, beyond_initial_load, attempted_before };
    struct CandidateRank {
        Preference preference = Preference::normal;
        double cost = 0;
        auto operator<=>(const CandidateRank&) const = default;
    };
    // Values that one selection computes at most once.
    struct Selection {
        Seconds now;
        const Request& request;
        std::map<Build, bool> builds_allowed;
        std::optional<double> even_share;
    };

    bool is_allowed(Selection& selection, Endpoint& endpoint);
    bool is_build_allowed(Selection& selection, Build build);
    double even_share(Selection& selection) const;
    Preference preference(Selection& selection, Endpoint& endpoint);
    double cost(Seconds now, const Endpoint& endpoint, double in_flight_elsewhere) const;
    double expected_time(Seconds now, const Endpoint& endpoint) const;

    LoadBalancerInputs inputs_;
};

}  // namespace tideline
