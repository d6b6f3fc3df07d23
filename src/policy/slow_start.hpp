// Slow start: what a freshly started endpoint may get until it is warm.
//
// All sidecars together overload a cold endpoint, and none sees the requests of the others. So each
// sends it at most a safe fraction of an even share of the requests that it serves itself: summed
// over any number of sidecars this is a fraction of what the endpoints carry, also in a burst. An
// even share below one request is rounded by a draw in each window, which keeps the expected sum.
#pragma once

#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/samples.hpp"
#include "policy/types.hpp"

namespace tideline {

// The slow start state of one endpoint.
struct SlowStartUsage {
    EventWindow sent;             // attempts in the window of the rule
    HeldDraw rounding;            // rounds a share below one request
    double granted_attempts = 0;  // attempts in a window, granted by the coordinator
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
    // Too young for its answers to be evidence on its build.
    bool is_too_young_for_evidence(const EndpointInfo& endpoint, Seconds now) const;
    // Share of the full capacity that the endpoint has by now, at least.
    double capacity(const EndpointInfo& endpoint, Seconds now) const;

    // Requests in a window that each of `endpoints` would get if all got the same.
    double even_share(Seconds now, std::size_t endpoints) const;
    // Whether a cold endpoint may get one more attempt by this sidecar's own rule.
    bool within_own_limit(SlowStartUsage& usage, const EndpointInfo& endpoint, double even_share,
                          Seconds now, RandomSource& random) const;
    // Whether an endpoint on trial or cold has less than the part it gets first.
    bool within_initial_load(SlowStartUsage& usage, const EndpointInfo& endpoint, double even_share,
                             Seconds now, RandomSource& random) const;
    // Whether the coordinator's grant has room. Without a valid grant the own rule holds alone.
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
