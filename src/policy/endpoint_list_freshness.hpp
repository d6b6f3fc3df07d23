// Tracks until when the endpoint list may be used. A draining or removed endpoint may get no new
// attempts once its grace is over, counted from when the change was notified. A change counts as
// notified a bounded time after the discovery service had it, whether or not this sidecar has read
// it. So, like a lease, the list is valid for a bounded time after its last confirmation. Does no
// I/O and reads no clock: every call carries the time, in seconds.
#pragma once

#include <optional>

#include "policy/types.hpp"

namespace tideline {

class EndpointListFreshness {
  public:
    static constexpr Seconds kUnbounded = std::numeric_limits<Seconds>::infinity();
    // Bounds in seconds, given by the protocol and the settings.
    struct Bounds {
        // A change counts as notified this long after the service had it, whether read or not.
        Seconds notified_within = kUnbounded;
        // All changes that the service had before it moved count as notified this long after the
        // move.
        Seconds notified_after_move = 0;
        // This long after the notification, no more attempts may be sent to a draining or removed
        // endpoint.
        Seconds drain_grace = 0;
        bool pushed = false;  // changes count as notified at once, with or without a watch
    };
    // Starts with only a cached list of unknown age.
    explicit EndpointListFreshness(const Bounds& bounds) : bounds_(bounds) {}

    // All changes notified by `as_of` have been read.
    void confirmed(Seconds as_of);
    // In the next three calls `since` is the earliest time at which the event may have arrived: the
    // process may have been paused before it read the event.
    void watch_lost(Seconds since, WatchLoss loss);
    // A change has arrived in part, or can't be parsed.
    void change_unreadable(Seconds since);
    // From now on the list is watched at another address; only that watch confirms it.
    void service_moved(Seconds since);

    // The time of the last confirmation; empty while only the cached list is known.
    std::optional<Seconds> confirmed_at() const {
        return confirmed_at_;
    }
    // The latest time for a new attempt at an endpoint that is listed as ready.
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
