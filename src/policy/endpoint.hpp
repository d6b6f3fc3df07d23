// What this sidecar knows about one endpoint.
#pragma once

#include <algorithm>

#include "policy/concurrency_limit.hpp"
#include "policy/outlier_ejection.hpp"
#include "policy/slow_start.hpp"
#include "policy/types.hpp"

namespace tideline {

struct Endpoint {
    EndpointInfo info;  // as in the latest endpoint list
    int in_flight = 0;  // attempts of this sidecar
    OutlierEjection health;
    ConcurrencyLimit concurrency;
    SlowStartUsage slow_start;

    bool has_capacity() const {
        return in_flight < (health.allows_single_attempt_only() ? 1 : concurrency.limit());
    }
    void attempt_ended() {
        in_flight = std::max(0, in_flight - 1);
    }
};

}  // namespace tideline
