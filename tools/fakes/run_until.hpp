// Executes an event loop until a condition holds.
#pragma once

#include <algorithm>
#include <functional>

#include "net/event_loop.hpp"

namespace tideline::fakes {

constexpr Seconds kCheckInterval = 0.01;  // s: the condition is evaluated at least this often

// Executes the loop until `holds` returns true, which is evaluated after each pass, or until `most`
// seconds have passed. Returns whether the condition held.
inline bool run_until(net::EventLoop& loop, Seconds most, const std::function<bool()>& holds) {
    const Seconds until = net::clock_now() + most;
    for (;;) {
        if (holds()) {
            return true;
        }
        if (net::clock_now() >= until) {
            return false;
        }
        bool woken = false;
        net::Timers::Id wake = loop.timers.at(std::min(until, net::clock_now() + kCheckInterval),
                                              [&] { woken = true; });
        while (!woken && !holds()) {
            loop.pass();
        }
        if (!woken) {
            loop.timers.cancel(wake);
        }
    }
}

}  // namespace tideline::fakes
