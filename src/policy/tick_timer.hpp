// The only timer of the policy, which drives its ticks. The timers of the host can't be cancelled,
// so a timer that fires before the next tick is due is ignored.
#pragma once

#include "policy/routing_policy.hpp"
#include "policy/types.hpp"

namespace tideline {

// The interval of ticks while requests wait in the queue; short compared with any SLO time.
constexpr Seconds kTickInterval = 0.02;

class TickTimer {
  public:
    explicit TickTimer(Host& host) : host_(host) {}

    // Makes sure that a tick happens within `delay`.
    void fire_within(Seconds now, Seconds delay) {
        if (next_tick_ > now && next_tick_ <= now + delay) {
            return;
        }
        next_tick_ = now + delay;
        host_.set_timer(delay, kTickTimerId);
    }
    // Whether the timer that fired is the tick that is due.
    bool is_tick(Seconds now, TimerId timer) const {
        return timer == kTickTimerId && now >= next_tick_ - kTimerTolerance;
    }
    // Sets the timer for the next tick; to be called after each tick.
    void restart(Seconds now, Seconds delay) {
        next_tick_ = kNever;
        fire_within(now, delay);
    }

  private:
    static constexpr TimerId kTickTimerId{1};
    // Allows for rounding in the host's timers.
    static constexpr Seconds kTimerTolerance = kTickInterval / 4;

    Host& host_;
    Seconds next_tick_ = kNever;
};

}  // namespace tideline
