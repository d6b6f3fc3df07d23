// Slow start: limits the attempts at a just started endpoint until it is warm.
//
// All sidecars together can overload a cold endpoint, and none sees the requests of the others. So
// each sidecar sends it at most a safe fraction of an even share of the requests that it serves
// itself. Summed over any number of sidecars, this is a fraction of the load that the endpoints
// carry, also in a burst. An even share below one request is rounded at random in each window,
// which preserves the expected sum.
#pragma once

#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/samples.hpp"
#include "policy/types.hpp"

namespace tideline {

// The slow start state of one endpoint.
struct SlowStartUsage {
    EventWindow sent;             // attempts within the last window
    HeldDraw rounding;            // rounds a share of less than one request
    double granted_attempts = 0;  // attempts per window, granted by the coordinator
    Seconds granted_until = kNever;

    void grant(double attempts, Seconds until) {
        granted_attempts = attempts;
        granted_until = until;
    }
};

class SlowStart {
  public:
    SlowStart(const PolicySettings& settings, Seconds started_at)
        : settings_(settings.slow_start), sidecars_(settings.sidecars), started_at_(started_at) {}

    void request_served(Seconds now);

    bool is_warming_up(const EndpointInfo& endpoint, Seconds now) const;
    // Whether the endpoint is too young for its answers to be evidence on its build.
    bool is_too_young_for_evidence(const EndpointInfo& endpoint, Seconds now) const;
    // The least share of its full capacity that the endpoint has by now.
    double capacity(const EndpointInfo& endpoint, Seconds now) const;

    // Requests per window that each of `endpoints` endpoints would get if all got the same.
    double even_share(Seconds now, std::size_t endpoints) const;
    // Whether a cold endpoint may get one more attempt under this sidecar's own limit.
    bool within_own_limit(SlowStartUsage& usage, const EndpointInfo& endpoint, double even_share,
                          Seconds now, RandomSource& random) const;
    // Whether an endpoint on trial or cold is still below the load up to which it is preferred.
    bool within_initial_load(SlowStartUsage& usage, const EndpointInfo& endpoint, double even_share,
                             Seconds now, RandomSource& random) const;
    // Whether the coordinator's grant allows one more attempt. Without a valid grant only the
    // sidecar's own limit applies.
    bool within_grant(const SlowStartUsage& usage, Seconds now) const;
    void attempt_sent(SlowStartUsage& usage, Seconds now) const;

  private:
    bool is_below_limit(double multiple, SlowStartUsage& usage, const EndpointInfo& endpoint,
                        double even_share, Seconds now, RandomSource& random) const;

    const SlowStartSettings& settings_;
    const double sidecars_;
    const Seconds started_at_;
    EventWindow served_;
};

}  // namespace tideline
