// Until when the endpoint list may be used. An endpoint that drains or was removed may get nothing
// new once its grace is over, counted from when the change was notified; and a change counts as
// notified a bounded time after the discovery service had it, whether or not this sidecar has read
// it. So an entry of the list is valid for a bounded time after its last confirmation, as a lease
// is. No I/O and no clock: every call carries the time, in seconds.
#pragma once

#include <optional>

#include "policy/types.hpp"

namespace tideline {

class EndpointListFreshness {
  public:
    static constexpr Seconds kUnbounded = std::numeric_limits<Seconds>::infinity();
    // Times in seconds; from the protocol and the settings.
    struct Bounds {
        Seconds notified_within =
            kUnbounded;  // after the service had it a change counts as notified, read or not
        Seconds notified_after_move =
            0;  // after the service moved, all that it had until then counts as notified
        Seconds drain_grace =
            0;  // after the notification, sending to a draining or removed endpoint has to stop
        bool pushed = false;  // changes count as notified at once, with or without a watch
    };
    // For a process that has only a cached list of unknown age.
    explicit EndpointListFreshness(const Bounds& bounds) : bounds_(bounds) {}

    // All changes notified by `as_of` have been read.
    void confirmed(Seconds as_of);
    // For these `since` is the earliest time at which the event may have arrived: the process may
    // have been paused before it read it.
    void watch_lost(Seconds since, WatchLoss loss);
    // A change has arrived in part, or can't be read.
    void change_unreadable(Seconds since);
    // The list is watched at another address from now on; only that watch confirms it.
    void service_moved(Seconds since);

    // When the list was last confirmed; empty while only the cached one is known.
    std::optional<Seconds> confirmed_at() const {
        return confirmed_at_;
    }
    // The last moment for a new attempt at an endpoint that is listed as ready.
    Seconds usable_until() const;
    bool expired(Seconds now) const {
        return now > usable_until();
    }

  private:
    const Bounds bounds_;
    std::optional<Seconds> confirmed_at_;
    std::optional<Seconds> unreadable_at_;
    std::optional<Seconds> moved_at_;
    std::optional<Seconds> pushed_lost_at_;
};

}  // namespace tideline
