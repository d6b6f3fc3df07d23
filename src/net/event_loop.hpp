// The poll(2) loop: waits until a descriptor is ready or a timer is due. Reads what has arrived
// before it runs timers, so that a pass that came late does not take its own delay for a peer's
// silence. One thread runs the loop and makes all calls to it.
#pragma once

#include <poll.h>

#include <memory>
#include <vector>

#include "net/timers.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// Owner of a watched descriptor.
class Watcher {
  public:
    virtual ~Watcher() = default;
    // `events`: of poll(2).
    virtual void ready(short events) = 0;
    // Whether it is read before others that are ready in the same pass.
    virtual bool is_urgent() const {
        return false;
    }
};

// Unix time in seconds, read at the start and carried on by a monotonic clock.
Seconds clock_now();
// Unix time in seconds by the wall clock, which may be set while the process runs.
Seconds wall_time();

class EventLoop {
  public:
    // Watches the descriptor for `events` of poll(2) until unwatch(). `watcher` outlives that.
    void watch(int fd, Watcher* watcher, short events);
    // Changes the events that a watched descriptor is watched for.
    void set_events(int fd, short events);
    // Safe while a pass is under way.
    void unwatch(int fd);
    // Waits, for a second at most, and handles what is ready or due.
    void pass();
    // Keeps the object until the end of the pass, when nothing can refer to it any more.
    void destroy_after_pass(std::unique_ptr<Watcher> ended) {
        destroyed_after_pass_.push_back(std::move(ended));
    }
    // Everything that is read in this pass arrived later than that: the pass before had found all
    // that was there by then. The time of reading says less: a process may be suspended between any
    // two steps, and then finds what is seconds old beside what is new.
    Seconds arrived_after() const {
        return arrived_after_;
    }
    // Descriptors that are watched, now and at most so far.
    std::size_t watched_count() const {
        return polled_.size();
    }
    std::size_t peak_watched_count() const {
        return peak_watched_count_;
    }

    Timers timers;

  private:
    struct WatchedDescriptor {
        Watcher* watcher = nullptr;  // null: the descriptor is not watched
        std::size_t index = 0;       // in polled_
        std::uint64_t use = 0;       // tells one use of a descriptor from the next
    };
    std::vector<pollfd> polled_;
    std::vector<WatchedDescriptor> watched_;  // by descriptor
    std::vector<std::unique_ptr<Watcher>> destroyed_after_pass_;
    std::uint64_t uses_ = 0;
    std::size_t peak_watched_count_ = 0;
    bool timers_deferred_ = false;
    Seconds polled_at_ = clock_now();
    Seconds arrived_after_ = polled_at_;
};

}  // namespace tideline::net
