// The settings of the routing policy, read and checked once at start.
#pragma once

#include <map>
#include <vector>

#include "policy/endpoint_list_freshness.hpp"
#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline {

// The service level of one request class, and what a retry of its requests does.
struct RequestClassSettings {
    Seconds slo_time = 0;       // the objective for the response time
    Seconds repeat_window = 0;  // fingerprinted requests only: how long a repeat is recognised
    double billed_value = 1;    // value of one answered request
    Effect effect = Effect::idempotent;
    RepeatGroup repeat_group = RepeatGroup::all;  // endpoints that recognise a repeat
};

// What moves a release from one stage to the next: the votes of sidecars, or time.
enum class StageAdvance { votes, clock };

struct ReleaseSettings {
    Seconds exposure_window = 0;  // window in which exposed requests are counted
    double allowance = 0;         // requests per window by which exposure may exceed the cap
    double first_cap = 0;         // cap of the first stage and of builds not announced yet
    bool cap_per_request_class = false;
    int guarded_stages = 0;     // number of first stages that get idempotent requests only
    bool one_way_keys = false;  // older builds may not get a key that a new build has answered
    StageAdvance advanced_by = StageAdvance::votes;
    Seconds min_stage_time = 0;
    Seconds vote_lifetime = 0;
    Seconds vote_timeout = 0;
    double back_votes = 1;         // back votes that withdraw a build
    double evidence_fraction = 1;  // of the usual evidence, needed for one back vote
    double flagged_share = 0;      // share of the wrong answers that clients flag
};

struct SlowStartSettings {
    double initial_capacity = 0;   // share of its full capacity that a just started endpoint has
    Seconds duration = 0;          // from the start of an endpoint until it has its full capacity
    double overload_multiple = 0;  // of its capacity; more requests in a window overload it
    Seconds window = 0;            // window in which requests to a cold endpoint are counted
};

// All settings of the routing policy. Immutable after start.
struct PolicySettings {
    // Throws std::invalid_argument that names a setting which is missing or out of range.
    explicit PolicySettings(const Settings& settings);

    EndpointListFreshness::Bounds list_bounds;
    bool is_list_pushed = false;
    double sidecars = 1;  // number of sidecars in the fleet, this one included
    std::vector<RequestClassSettings> request_classes;
    ReleaseSettings release;
    SlowStartSettings slow_start;
    Seconds drain_grace = 0;  // how long attempts may still be sent after a change was notified
    int max_attempts = 1;
    std::map<TenantId, double> quotas;  // shares of the tenants; empty if quotas are not enforced
    bool valued_by_work = false;  // billed values are per unit of work, else per answered request
    Seconds max_retry_after = 0;  // 0: rejected clients get no advice when to retry
    bool cross_location_costs = false;
    bool health_checks_allowed = false;
    Location location;

    bool knows(RequestClass request_class) const {
        return request_class.value >= 0 &&
               request_class.value < static_cast<int>(request_classes.size());
    }
    const RequestClassSettings& of(RequestClass request_class) const {
        return request_classes[static_cast<std::size_t>(request_class.value)];
    }
};

}  // namespace tideline
