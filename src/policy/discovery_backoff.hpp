// Decides how long to wait before the discovery service is called for the endpoint list: at the
// start, after a watch was lost, and after a call failed. Uses exponential backoff with jitter,
// spread so that a fleet of this size does not overload the service. Does no I/O, reads no clock
// and draws no random numbers.
#pragma once

#include "policy/types.hpp"

namespace tideline {

class DiscoveryBackoff {
  public:
    // Bounds of the wait, which the caller draws from a uniform distribution.
    struct Wait {
        Seconds min = 0;
        Seconds max = 0;
    };
    // `sidecars`: the number of sidecars that use the discovery service, this one included.
    explicit DiscoveryBackoff(double sidecars) : sidecars_(sidecars) {}

    // The wait before the first call of a process.
    Wait process_started() const;
    void call_answered();
    // The wait before the next call. `watched`: a watch has worked since the start. The first loss
    // after that usually concerns this sidecar alone.
    Wait call_failed(WatchLoss loss, bool watched);

  private:
    double other_sidecars() const {
        return sidecars_ - 1;
    }
    Wait wait_after_refusal(bool watched);
    Wait wait_after_unreachable();

    const double sidecars_;
    int refused_calls_ = 0;      // failed calls in a row that may have reached the service
    int unreachable_calls_ = 0;  // failed calls in a row that did not reach it
};

}  // namespace tideline
