#include "net/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "net/check_invariant.hpp"
#include "net/clock_offset.hpp"
#include "net/limits.hpp"

namespace tideline::net {
namespace {

Seconds steady_time() {
    return std::chrono::duration<Seconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace

Seconds wall_time() {
    return std::chrono::duration<Seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Seconds clock_now() {
    static const Seconds offset = clock_offset(steady_time, wall_time);
    return offset + steady_time();
}

void EventLoop::watch(int fd, Watcher* watcher, short events) {
    if (static_cast<std::size_t>(fd) >= watched_.size()) {
        watched_.resize(static_cast<std::size_t>(fd) + 1);
    }
    WatchedDescriptor& watched = watched_[static_cast<std::size_t>(fd)];
    check_invariant(watched.watcher == nullptr, "a descriptor is watched once");
    watched = {watcher, polled_.size(), ++uses_};
    polled_.push_back({fd, events, 0});
    peak_watched_count_ = std::max(peak_watched_count_, polled_.size());
}

void EventLoop::set_events(int fd, short events) {
    const WatchedDescriptor& watched = watched_[static_cast<std::size_t>(fd)];
    if (check_invariant(watched.watcher != nullptr,
                        "events are set only for a watched descriptor")) {
        polled_[watched.index].events = events;
    }
}

void EventLoop::unwatch(int fd) {
    WatchedDescriptor& watched = watched_[static_cast<std::size_t>(fd)];
    if (!check_invariant(watched.watcher != nullptr, "only a watched descriptor is unwatched")) {
        return;
    }
    polled_[watched.index] = polled_.back();
    watched_[static_cast<std::size_t>(polled_[watched.index].fd)].index = watched.index;
    polled_.pop_back();
    watched.watcher = nullptr;
}

void EventLoop::pass() {
    const Seconds begun = clock_now();
    const Seconds wait = timers.next() - begun;
    const int ms = wait <= 0 ? 0 : static_cast<int>(std::ceil(std::min(wait, 1.0) * 1e3));
    // After EINTR nothing is ready, and the next pass polls again.
    const int count = ::poll(polled_.data(), polled_.size(), ms);
    const Seconds polled_at = clock_now();
    arrived_after_ = std::exchange(polled_at_, polled_at);
    if (count > 0) {
        struct Ready {
            int fd;
            short events;
            std::uint64_t use;
        };
        std::vector<Ready> ready;
        for (const pollfd& polled : polled_) {
            if (polled.revents != 0) {
                ready.push_back(
                    {polled.fd, polled.revents, watched_[static_cast<std::size_t>(polled.fd)].use});
            }
        }
        // A process that was suspended finds the requests of its clients beside list changes that
        // arrived meanwhile. A request that is read first would be routed by an outdated list.
        std::stable_partition(ready.begin(), ready.end(), [&](const Ready& descriptor) {
            const WatchedDescriptor& watched = watched_[static_cast<std::size_t>(descriptor.fd)];
            return watched.watcher != nullptr && watched.watcher->is_urgent();
        });
        for (const Ready& descriptor : ready) {
            const WatchedDescriptor& watched = watched_[static_cast<std::size_t>(descriptor.fd)];
            if (watched.watcher && watched.use == descriptor.use) {
                watched.watcher->ready(descriptor.events);
            }
        }
    }
    // A process that is suspended at this point finds its deadlines expired before it has read the
    // input that arrived meanwhile. In that case the timers run only after the descriptors have
    // been polled once more.
    const Seconds now = clock_now();
    const bool late = now > polled_at + kSuspensionThreshold ||
                      polled_at > begun + ms * 1e-3 + kSuspensionThreshold;
    if (!late || timers_deferred_) {
        timers.run(now);
    }
    timers_deferred_ = late && !timers_deferred_;
    destroyed_after_pass_.clear();
}

}  // namespace tideline::net
