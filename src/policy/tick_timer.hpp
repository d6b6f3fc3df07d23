// The one timer of the policy. A timer that was set can't be cancelled: one that fires before the
// tick that is wanted now is ignored.
#pragma once

#include "policy/routing_policy.hpp"
#include "policy/types.hpp"

namespace tideline {

constexpr Seconds kTickInterval = 0.02;  // while requests wait; small beside any SLO time

class TickTimer {
  public:
    explicit TickTimer(Host& host) : host_(host) {}

    void fire_within(Seconds now, Seconds delay) {
        if (next_tick_ > now && next_tick_ <= now + delay) {
            return;
        }
        next_tick_ = now + delay;
        host_.set_timer(delay, kTickTimerId);
    }
    // Whether the timer that fired is the awaited tick.
    bool is_tick(Seconds now, TimerId timer) const {
        return timer == kTickTimerId && now >= next_tick_ - kTimerTolerance;
    }
    // After a tick was served: sets the next one.
    void restart(Seconds now, Seconds delay) {
        next_tick_ = kNever;
        fire_within(now, delay);
    }

  private:
    static constexpr TimerId kTickTimerId{1};
    static constexpr Seconds kTimerTolerance = kTickInterval / 4;  // rounding of the host's timers

    Host& host_;
    Seconds next_tick_ = kNever;
};

}  // namespace tideline
