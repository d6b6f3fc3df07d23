// Notices that this process was paused: it heard nothing, not even its own ticks, for a while. What
// timed out meanwhile says nothing of the endpoints.
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
    // Soon after a pause another may follow; what is queued here would then be answered late.
    bool recently_paused(Seconds now) const {
        return now < resumed_at_ + kRecentPauseWindow;
    }

  private:
    static constexpr Seconds kMaxEventGap = 0.6;  // many ticks
    static constexpr Seconds kRecentPauseWindow = 10;

    Seconds last_event_;
    Seconds resumed_at_ = kNever;
};

}  // namespace tideline
