#include "net/event_loop.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
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

PassOrder EventLoop::pass_order(int fd) const {
    const WatchedDescriptor& watched = watched_[static_cast<std::size_t>(fd)];
    return watched.watcher != nullptr ? watched.watcher->pass_order() : PassOrder::others;
}

// A process that was suspended finds the requests of its clients beside list changes that arrived
// meanwhile. A request that is read first would be routed by an outdated list.
std::vector<EventLoop::ReadyDescriptor> EventLoop::ready_in_order(
    const std::vector<pollfd>& polled) const {
    std::vector<ReadyDescriptor> ready;
    for (const pollfd& each : polled) {
        if (each.revents != 0) {
            ready.push_back({each.fd, each.revents, watched_[static_cast<std::size_t>(each.fd)].use,
                             pass_order(each.fd)});
        }
    }
    std::stable_sort(ready.begin(), ready.end(),
                     [](const ReadyDescriptor& one, const ReadyDescriptor& other) {
                         return one.order < other.order;
                     });
    return ready;
}

void EventLoop::handle(const ReadyDescriptor& descriptor) {
    const WatchedDescriptor& watched = watched_[static_cast<std::size_t>(descriptor.fd)];
    if (watched.watcher && watched.use == descriptor.use) {
        watched.watcher->ready(descriptor.events);
    }
}

// After a suspension within the pass, what is urgent is read again before the rest is handled.
void EventLoop::handle_ready_descriptors() {
    Seconds urgent_handled_at = polled_at_;
    for (const ReadyDescriptor& descriptor : ready_in_order(polled_)) {
        if (clock_now() > urgent_handled_at + kSuspensionThreshold) {
            handle_urgent_descriptors();
            urgent_handled_at = clock_now();
        }
        handle(descriptor);
    }
}

// Handles the urgent descriptors that have become ready since the pass began.
void EventLoop::handle_urgent_descriptors() {
    std::vector<pollfd> urgent;
    std::copy_if(polled_.begin(), polled_.end(), std::back_inserter(urgent),
                 [&](const pollfd& polled) { return pass_order(polled.fd) != PassOrder::others; });
    if (::poll(urgent.data(), urgent.size(), 0) <= 0) {
        return;
    }
    for (const ReadyDescriptor& descriptor : ready_in_order(urgent)) {
        handle(descriptor);
    }
}

// Runs the timers that are due. After a suspension among them, the others run in the next pass,
// which first reads what arrived meanwhile.
void EventLoop::run_timers(Seconds now) {
    while (timers.run_next(now)) {
        if (clock_now() > now + kSuspensionThreshold) {
            return;
        }
    }
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
        handle_ready_descriptors();
    }
    // A process that is suspended at this point finds its deadlines expired before it has read the
    // input that arrived meanwhile. In that case the timers run only after the descriptors have
    // been polled once more.
    const Seconds now = clock_now();
    const bool late = now > polled_at + kSuspensionThreshold ||
                      polled_at > begun + ms * 1e-3 + kSuspensionThreshold;
    timers_deferred_ = late && !timers_deferred_;
    if (!timers_deferred_) {
        if (late) {
            handle_urgent_descriptors();
        }
        run_timers(now);
    }
    destroyed_after_pass_.clear();
}

}  // namespace tideline::net
