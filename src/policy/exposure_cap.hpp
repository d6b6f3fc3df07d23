// Limits the requests that a build on trial gets: in each window no more than the cap of its stage.
// With one-way keys, a key that a newer build has answered never goes back to an older one.
#pragma once

#include <map>

#include "policy/endpoint_set.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/records.hpp"
#include "policy/release_state.hpp"
#include "policy/samples.hpp"

namespace tideline {

enum class ExposureDecision {
    allowed,
    one_way_key,    // a newer build has already answered this key
    no_exposure,    // the cap is 0
    guarded_stage,  // this stage gets idempotent requests only
    cap_reached,
};

class ExposureCap {
  public:
    ExposureCap(const PolicySettings& settings, const EndpointSet& endpoints,
                const ReleaseState& release, RandomSource& random, Seconds started_at)
        : settings_(settings),
          endpoints_(endpoints),
          release_(release),
          random_(random),
          started_at_(started_at) {}

    void request_received(Seconds now, RequestClass request_class);
    void attempt_sent(Seconds now, RequestClass request_class, Build build);
    void request_answered(const Request& request, Build build);
    void release_updated();

    ExposureDecision decide(Seconds now, const Request& request, Build build);
    // Without a release status all builds but the oldest listed count as on trial.
    bool is_on_trial(Build build) const;
    // Whether the build is on trial and its cap is 0.
    bool is_closed(Build build) const;
    // Whether an attempt sent at `sent` may no longer start because the cap was lowered since.
    bool recalls(Build build, Seconds sent) const;

  private:
    struct ExposureKey {
        Build build;
        RequestClass request_class;
        auto operator<=>(const ExposureKey&) const = default;
    };

    double cap_of(Build build) const;
    // The class that a request counts towards. If the cap holds for all request classes together,
    // they are counted as one.
    RequestClass counting_class(RequestClass request_class) const;
    bool key_answered_by_newer(const Request& request, Build build) const;
    bool is_below_cap(Seconds now, RequestClass counted, Build build, double cap);

    const PolicySettings& settings_;
    const EndpointSet& endpoints_;
    const ReleaseState& release_;
    RandomSource& random_;
    const Seconds started_at_;
    std::map<RequestClass, EventWindow> received_;
    std::map<ExposureKey, EventWindow> exposed_;
    // Random rounding of a cap's share that is not a whole number of requests, drawn once per
    // window.
    std::map<RequestClass, HeldDraw> rounding_;
    std::map<ObjectKey, Build> answered_by_;  // builds that answered the keys
};

}  // namespace tideline
