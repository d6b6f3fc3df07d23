// When the register is called again for the list of pods after a watch was lost or a call failed. Exponential
// backoff with jitter, from what a fleet of this size may ask at once. No I/O, no clock, no draws of its own.
#pragma once

#include "words.hpp"

namespace tideline {

class ListRetry {
  public:
    // Seconds between which the wait is to be drawn, evenly.
    struct Wait {
        Seconds least = 0, most = 0;
    };
    // `sidecars`: how many share the register, this one included.
    explicit ListRetry(double sidecars) : sidecars_(sidecars) {}

    void answered() { failed_ = 0; }
    // `watched`: a watch has stood since the start. The first loss after that is as a rule this sidecar's
    // own.
    Wait failed(bool watched);

  private:
    const double sidecars_;
    int failed_ = 0;  // calls in a row
};

}  // namespace tideline
