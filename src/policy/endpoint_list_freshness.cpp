#include "policy/endpoint_list_freshness.hpp"

#include <algorithm>

#include "policy/delay_bounds.hpp"

namespace tideline {

void EndpointListFreshness::confirmed(Seconds as_of) {
    confirmed_at_ = std::max(confirmed_at_.value_or(as_of), as_of);
    unreadable_at_.reset();
    moved_at_.reset();
    pushed_lost_at_.reset();
}

void EndpointListFreshness::watch_lost(Seconds since, WatchLoss loss) {
    if (loss == WatchLoss::unreadable) {
        change_unreadable(since);
    }
    // Silence of the watch does not mean that there is a change to be notified.
    if (bounds_.pushed && loss != WatchLoss::silent && !pushed_lost_at_) {
        pushed_lost_at_ = since;
    }
}

void EndpointListFreshness::change_unreadable(Seconds since) {
    if (!unreadable_at_) {
        unreadable_at_ = since;
    }
}

void EndpointListFreshness::service_moved(Seconds since) {
    if (!moved_at_) {
        moved_at_ = since;
    }
}

Seconds EndpointListFreshness::usable_until() const {
    if (bounds_.notified_within == kUnbounded) {
        return kUnbounded;
    }
    // The age of the cached list at the start of a process is unknown. A change missing from it may
    // have counted as notified to the previous process longer ago than the grace.
    if (!confirmed_at_) {
        return -kUnbounded;
    }
    Seconds notified = *confirmed_at_ - kMaxNotificationLag + bounds_.notified_within;
    if (moved_at_) {
        notified = std::min(notified, *moved_at_ + bounds_.notified_after_move);
    }
    if (unreadable_at_) {
        notified = std::min(notified, *unreadable_at_);
    }
    if (pushed_lost_at_) {
        notified = std::min(notified, *pushed_lost_at_);
    }
    return notified + bounds_.drain_grace - kMaxSendDelay;
}

}  // namespace tideline
