// The modules of one routing policy, in the order in which they depend on each other.
#pragma once

#include "policy/admission.hpp"
#include "policy/ballots.hpp"
#include "policy/endpoint_discovery.hpp"
#include "policy/endpoint_set.hpp"
#include "policy/exposure_cap.hpp"
#include "policy/load_balancer.hpp"
#include "policy/pause_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/release_judge.hpp"
#include "policy/release_state.hpp"
#include "policy/response_times.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/tick_timer.hpp"

namespace tideline {

// Members hold references to each other, so objects can't be copied or moved.
struct PolicyModules {
    PolicyModules(Host& policy_host, const Settings& raw_settings, std::uint64_t seed, Seconds now)
        : host(policy_host),
          settings(raw_settings),
          random(seed),
          pauses(now),
          exposure(settings, endpoints, release, random, now),
          slow_start(settings, now) {}
    PolicyModules(const PolicyModules&) = delete;
    PolicyModules& operator=(const PolicyModules&) = delete;
    ~PolicyModules() = default;

    Host& host;
    const PolicySettings settings;
    RandomSource random;
    PauseDetector pauses;
    TickTimer timer{host};
    EndpointSet endpoints;
    EndpointDiscovery discovery{settings, random};
    ReleaseState release;
    ReleaseJudge judge{settings, endpoints, release};
    Ballots ballots{settings.release, release, judge, random};
    ExposureCap exposure;
    SlowStart slow_start;
    ResponseTimes response_times{settings};
    RetryPolicy retry_policy{settings};
    Admission admission{settings, response_times, retry_policy, pauses, random};
    LoadBalancer balancer{{settings, endpoints, discovery.freshness(), response_times, retry_policy,
                           slow_start, exposure, random}};
};

}  // namespace tideline
