// Event loop based on poll(2): waits until a descriptor is ready or a timer is due. It reads all
// input that has arrived before it runs timers, so that a pass that starts late does not take its
// own delay for a peer's silence. A process that is suspended in the middle of a pass reads the
// urgent descriptors again before it goes on. One thread runs the loop and makes all calls to it.
#pragma once

#include <poll.h>

#include <memory>
#include <vector>

#include "net/timers.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// In which order the descriptors that are ready in one pass are handled. What comes before `others`
// tells how requests have to be routed: it is urgent.
enum class PassOrder {
    updates,  // the endpoint list and the feed of the release platform
    replies,  // answers to votes; of the release states read in one pass, the last one is kept
    others
};

// Receives the events of a watched descriptor.
class Watcher {
  public:
    virtual ~Watcher() = default;
    // Handles the events that poll(2) reported.
    virtual void ready(short events) = 0;
    // Returns when this descriptor is handled among those that are ready in the same pass.
    virtual PassOrder pass_order() const {
        return PassOrder::others;
    }
};

// Unix time in seconds: the wall clock is read once at the start of the process and advanced by the
// steady clock.
Seconds clock_now();
// Unix time in seconds by the wall clock, which may be set while the process runs.
Seconds wall_time();

class EventLoop {
  public:
    // Watches the descriptor for the given poll(2) events until unwatch() is called. `watcher` must
    // live that long.
    void watch(int fd, Watcher* watcher, short events);
    // Changes the events for which a watched descriptor is polled.
    void set_events(int fd, short events);
    // Stops watching the descriptor. May be called during a pass.
    void unwatch(int fd);
    // Runs one pass: waits for one second at most and handles everything that is ready or due.
    void pass();
    // Destroys the object at the end of the pass, when nothing can refer to it any more.
    void destroy_after_pass(std::unique_ptr<Watcher> ended) {
        destroyed_after_pass_.push_back(std::move(ended));
    }
    // Everything that is read in this pass arrived after this time, at which the previous pass had
    // found all earlier input. The time of reading is no substitute: a process may be suspended
    // between any two steps and then finds input that is seconds old beside new input.
    Seconds arrived_after() const {
        return arrived_after_;
    }
    // Number of watched descriptors: the current one, and the highest since the start.
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
        std::size_t index = 0;       // index in polled_
        // Serial number that distinguishes successive uses of a descriptor.
        std::uint64_t use = 0;
    };
    // A descriptor that poll(2) reported.
    struct ReadyDescriptor {
        int fd;
        short events;
        std::uint64_t use;
        PassOrder order;
    };
    PassOrder pass_order(int fd) const;
    std::vector<ReadyDescriptor> ready_in_order(const std::vector<pollfd>& polled) const;
    void handle(const ReadyDescriptor& descriptor);
    void handle_ready_descriptors();
    void handle_urgent_descriptors();
    void run_timers(Seconds now);

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
