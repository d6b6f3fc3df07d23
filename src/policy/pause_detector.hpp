// Detects that this process was paused: it got no events, not even its own ticks, for a while.
// Time-outs during a pause say nothing about the endpoints.
#pragma once

#include "policy/types.hpp"

namespace tideline {

class PauseDetector {
  public:
    explicit PauseDetector(Seconds now) : last_event_(now) {}

    // To be called first at each event.
    void record_event(Seconds now) {
        if (now > last_event_ + kMaxEventGap) {
            resumed_at_ = now;
        }
        last_event_ = now;
    }
    bool paused_since(Seconds time) const {
        return resumed_at_ >= time;
    }
    // Whether a pause was so recent that another may follow; requests queued here would then be
    // answered late.
    bool recently_paused(Seconds now) const {
        return now < resumed_at_ + kRecentPauseWindow;
    }

  private:
    static constexpr Seconds kMaxEventGap = 0.6;  // many tick intervals
    static constexpr Seconds kRecentPauseWindow = 10;

    Seconds last_event_;
    Seconds resumed_at_ = kNever;
};

}  // namespace tideline
