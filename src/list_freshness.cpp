#include "list_freshness.hpp"

#include <algorithm>

namespace tideline {
namespace {

// s: between reading the clock and writing to a pod a process may be held up for 0.15 s; and the way there.
constexpr Seconds kHeldUp = 0.2;
// s: a register with many watches may tell a change that much later than a sign of life it wrote before.
constexpr Seconds kPushLag = 0.4;

}  // namespace

void ListFreshness::confirmed(Seconds now) {
    confirmed_at_ = now;
    unread_first_.reset();
    unread_last_.reset();
    moved_at_.reset();
    pushed_lost_at_.reset();
}

void ListFreshness::lost(Seconds now, ListLoss loss) {
    if (loss == ListLoss::unread) unread(now);
    // A watch that has fallen silent is no agent that has something to tell.
    if (bounds_.pushed && loss != ListLoss::silent && !pushed_lost_at_) pushed_lost_at_ = now;
}

void ListFreshness::unread(Seconds now) {
    if (!unread_first_) unread_first_ = now;
    unread_last_ = now;
}

void ListFreshness::moved(Seconds now) {
    if (!moved_at_) moved_at_ = now;
}

Seconds ListFreshness::usable_until(std::optional<Seconds> ready_at) const {
    if (bounds_.told_within == kUnbounded) return kUnbounded;
    const Seconds rest_of_grace = bounds_.drain_grace - kHeldUp;
    // Danger: nobody tells how old the copy is that a process starts with. What it lacks may have counted as
    // told to the process before, longer ago than the grace.
    if (!confirmed_at_) return -kUnbounded;
    const Seconds by_list = *confirmed_at_ - kPushLag;
    const Seconds known = ready_at ? std::max(*ready_at, by_list) : by_list;
    Seconds told = known + bounds_.told_within;
    if (moved_at_) told = std::min(told, std::max(known, *moved_at_ + bounds_.told_after_move));
    // Danger: of several such changes a later one may be of a pod that took work after the first.
    if (unread_last_ && known <= *unread_last_) told = std::min(told, std::max(known, *unread_first_));
    if (pushed_lost_at_) told = std::min(told, std::max(known, *pushed_lost_at_));
    return told + rest_of_grace;
}

}  // namespace tideline
