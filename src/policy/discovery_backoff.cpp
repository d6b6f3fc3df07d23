#include "policy/discovery_backoff.hpp"

#include <algorithm>
#include <cmath>

namespace tideline {
namespace {

constexpr double kGrowthFactor = 2;  // for each further call in a row that fails
constexpr int kMaxGrowths = 8;       // every longest wait is reached by then

// Backoff of this sidecar by itself.
constexpr Seconds kInitialWait = 0.4;       // upper bound of the first wait
constexpr double kMinWaitFraction = 0.5;    // of the longest wait
constexpr Seconds kMaxUnreachableWait = 3;  // calls that don't arrive cost the service nothing

// Backoff of a whole fleet.
constexpr double kStartCallsPerSecond = 30;  // of all sidecars that start together
constexpr Seconds kMaxStartDelay = 1;        // before the first call of a process
constexpr Seconds kInitialSpread = 10;       // over which all sidecars spread their first retries
constexpr double kSafeCallsPerSecond = 2;    // of all sidecars; any service can answer this many
constexpr Seconds kMinLongestWait = 1;       // lower and upper bound of the longest wait
constexpr Seconds kMaxLongestWait = 20;
constexpr double kMinSpreadFraction = 0.2;  // of the longest wait

Seconds exponential_wait(Seconds first, int failures) {
    return first * std::pow(kGrowthFactor, std::min(failures, kMaxGrowths));
}

}  // namespace

void DiscoveryBackoff::call_answered() {
    refused_calls_ = unreachable_calls_ = 0;
}

// A fleet that starts all at once makes more calls than the service can answer before they time
// out.
DiscoveryBackoff::Wait DiscoveryBackoff::process_started() const {
    return {0, std::min(kMaxStartDelay, other_sidecars() / kStartCallsPerSecond)};
}

DiscoveryBackoff::Wait DiscoveryBackoff::call_failed(WatchLoss loss, bool watched) {
    return loss == WatchLoss::unreachable ? wait_after_unreachable() : wait_after_refusal(watched);
}

// An overloaded service also works on calls that have timed out. It answers none in time while they
// are repeated faster than it can work off the old ones, and waits that double from a short one
// keep it in that state for many rounds. So after the first failed call all sidecars are spread
// over seconds at once. The capacity of the service is not known: one for 30 sidecars may answer as
// few calls of each as one for 300. With few sidecars the calls are rare whatever the spread.
DiscoveryBackoff::Wait DiscoveryBackoff::wait_after_refusal(bool watched) {
    const int failures = refused_calls_++;
    const Seconds max_spread = other_sidecars() / kSafeCallsPerSecond;
    const Seconds longest = std::clamp(max_spread, kMinLongestWait, kMaxLongestWait);
    const Seconds own = std::min(longest, exponential_wait(kInitialWait, failures));
    if (failures == 0 && watched) {
        return {kMinWaitFraction * own, own};
    }
    const Seconds spread =
        std::min(max_spread, exponential_wait(kInitialSpread, watched ? failures - 1 : failures));
    const Seconds fleet = std::min(longest, spread);
    if (fleet < own) {
        return {kMinWaitFraction * own, own};
    }
    return {kMinSpreadFraction * fleet, fleet};
}

// Calls that don't reach the service cost it nothing, and the list expires within seconds, so the
// waits stay short.
DiscoveryBackoff::Wait DiscoveryBackoff::wait_after_unreachable() {
    const Seconds longest =
        std::min(kMaxUnreachableWait, exponential_wait(kInitialWait, unreachable_calls_++));
    return {kMinWaitFraction * longest, longest};
}

}  // namespace tideline
