// Executes an event loop until a condition holds.
#pragma once

#include <algorithm>
#include <functional>

#include "net/event_loop.hpp"

namespace tideline::fakes {

constexpr Seconds kCheckInterval = 0.01;  // s: the condition is evaluated at least this often

// Executes the loop until `condition` returns true, which is evaluated after each pass, or until
// `timeout` seconds have passed. Returns whether the condition held.
inline bool run_until(net::EventLoop& loop, Seconds timeout,
                      const std::function<bool()>& condition) {
    const Seconds deadline = net::clock_now() + timeout;
    for (;;) {
        if (condition()) {
            return true;
        }
        if (net::clock_now() >= deadline) {
            return false;
        }
        bool timer_fired = false;
        net::Timers::Id timer = loop.timers.at(
            std::min(deadline, net::clock_now() + kCheckInterval), [&] { timer_fired = true; });
        while (!timer_fired && !condition()) {
            loop.pass();
        }
        if (!timer_fired) {
            loop.timers.cancel(timer);
        }
    }
}

}  // namespace tideline::fakes
