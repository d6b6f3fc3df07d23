// When the discovery service is called for the endpoint list: at the start, after a watch was lost,
// and after a call failed. Exponential backoff with jitter, spread over what a fleet of this size
// may ask together. No I/O, no clock, no draws of its own.
#pragma once

#include "policy/types.hpp"

namespace tideline {

class DiscoveryBackoff {
  public:
    // Bounds between which the wait is to be drawn, evenly distributed.
    struct Wait {
        Seconds min = 0;
        Seconds max = 0;
    };
    // `sidecars`: how many use the discovery service, this one included.
    explicit DiscoveryBackoff(double sidecars) : sidecars_(sidecars) {}

    // Before the first call of a process.
    Wait process_started() const;
    void call_answered();
    // `watched`: a watch has worked since the start. The first loss after that is as a rule this
    // sidecar's alone.
    Wait call_failed(WatchLoss loss, bool watched);

  private:
    double other_sidecars() const {
        return sidecars_ - 1;
    }
    Wait wait_after_refusal(bool watched);
    Wait wait_after_unreachable();

    const double sidecars_;
    int refused_calls_ = 0;      // calls in a row that reached the service, or may have
    int unreachable_calls_ = 0;  // calls in a row that did not
};

}  // namespace tideline
