#include "policy/discovery_backoff.hpp"

#include <algorithm>
#include <cmath>

namespace tideline {
namespace {

constexpr double kGrowthFactor = 2;  // with each further call in a row that fails
constexpr int kMaxGrowths = 8;       // by then any longest wait is exceeded

// Calls of this sidecar alone.
constexpr Seconds kInitialWait = 0.4;       // longest first wait
constexpr double kMinWaitFraction = 0.5;    // of the longest wait
constexpr Seconds kMaxUnreachableWait = 3;  // calls that don't arrive cost the service nothing

// Calls of a fleet.
constexpr double kStartCallsPerSecond = 30;  // calls a second, of all sidecars that start together
constexpr Seconds kMaxStartDelay = 1;        // before the first call of a process
constexpr Seconds kInitialSpread = 10;       // stretch over which all call again first
constexpr double kSafeCallsPerSecond = 2;    // calls a second of all that any service can answer
constexpr Seconds kMinLongestWait = 1;       // bounds of the longest wait
constexpr Seconds kMaxLongestWait = 20;
constexpr double kMinSpreadFraction = 0.2;  // of the longest wait

Seconds exponential_wait(Seconds first, int failures) {
    return first * std::pow(kGrowthFactor, std::min(failures, kMaxGrowths));
}

}  // namespace

void DiscoveryBackoff::call_answered() {
    refused_calls_ = unreachable_calls_ = 0;
}

// A fleet that starts at once asks for more than the service can answer before the calls time out.
DiscoveryBackoff::Wait DiscoveryBackoff::process_started() const {
    return {0, std::min(kMaxStartDelay, other_sidecars() / kStartCallsPerSecond)};
}

DiscoveryBackoff::Wait DiscoveryBackoff::call_failed(WatchLoss loss, bool watched) {
    return loss == WatchLoss::unreachable ? wait_after_unreachable() : wait_after_refusal(watched);
}

// An overloaded service also works on calls that have timed out, and answers none while they are
// repeated sooner than it gets through what they left. Waits that double from a short one keep it
// in that state for many rounds. So after the first failed call all sidecars are spread over
// seconds at once. What a service can answer is not known: one for 30 sidecars may answer as few
// calls of each as one for 300. Only where there are few sidecars the calls are rare at any spread.
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

// These calls cost the service nothing, and the list expires within seconds.
DiscoveryBackoff::Wait DiscoveryBackoff::wait_after_unreachable() {
    const Seconds longest =
        std::min(kMaxUnreachableWait, exponential_wait(kInitialWait, unreachable_calls_++));
    return {kMinWaitFraction * longest, longest};
}

}  // namespace tideline
