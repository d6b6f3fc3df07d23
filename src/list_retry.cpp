#include "list_retry.hpp"

#include <algorithm>
#include <cmath>

namespace tideline {
namespace {

constexpr Seconds kFirst = 0.4;        // s: longest first wait after a loss of this sidecar's own; doubles
constexpr double kRateFirst = 50;      // calls a second of all sidecars: the rate that is tried first; halves
constexpr double kRateLeast = 2;       // and the one below which it does not fall
constexpr Seconds kLeastLongest = 1;   // s: no wait is held shorter than that
constexpr Seconds kMostLongest = 15;   // s: nor is any longer; a register that is back is heard of by then
constexpr int kDoublingsMost = 8;      // times: beyond any longest wait
constexpr double kLeastOfOwn = 0.5;    // share of the longest wait, alone
constexpr double kLeastOfFleet = 0.2;  // share of it where the calls of a whole fleet are to be spread

}  // namespace

// Danger: with hundreds of callers the service works only on calls that have waited too long, and for as long
// as they call again soon it answers nobody. So the waits double, and are spread over nearly their whole
// length; they begin short, as one long wait leaves a service that is back idle while lists run out. How much
// a service bears is not known: one for 30 sidecars may bear as little for each as one for 300.
ListRetry::Wait ListRetry::failed(bool watched) {
    const bool alone = failed_ == 0 && watched;
    const double doubled = std::exp2(std::min(failed_, kDoublingsMost));
    ++failed_;
    const Seconds own = kFirst * doubled;
    const Seconds fleet = alone ? 0 : sidecars_ / kRateFirst * std::max(1.0, doubled / 2);
    const Seconds longest = std::clamp(sidecars_ / kRateLeast, kLeastLongest, kMostLongest);
    const Seconds most = std::min(longest, std::max(own, fleet));
    return {most * (own > fleet ? kLeastOfOwn : kLeastOfFleet), most};
}

}  // namespace tideline
