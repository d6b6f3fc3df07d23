#include "policy/concurrency_limit.hpp"

#include <algorithm>

namespace tideline {
namespace {

constexpr std::size_t kBatchSize = 6;    // answers whose mean is a response time
constexpr std::size_t kMaxBatches = 40;  // enough to remember the shortest time through a jam
constexpr double kInitialLimit = 4;      // attempts, at an endpoint of which nothing is known
constexpr double kMinLimit = 1;          // attempts, so that the endpoint still shows how it does
// The limit falls once the present time exceeds this multiple of the shortest.
constexpr double kConcurrencyHeadroom = 2;
// Bounds of the shortest relative time: the least of many short runs is far below any usual time,
// and one measured during a jam is far above.
constexpr double kMinShortestTime = 0.8;
constexpr double kMaxShortestTime = 1.25;
constexpr double kMinDecreaseFactor = 0.5;  // factor of one run
constexpr double kMinRelativeTime = 1e-9;   // relative; keeps the quotient finite

}  // namespace

ConcurrencyLimit::ConcurrencyLimit() : times_(kBatchSize, kMaxBatches), limit_(kInitialLimit) {}

void ConcurrencyLimit::attempt_answered(double relative_time, int in_flight) {
    if (times_.add(relative_time)) {
        adjust(in_flight);
    }
}

void ConcurrencyLimit::adjust(int in_flight) {
    const double shortest = std::clamp(times_.min_mean(), kMinShortestTime, kMaxShortestTime);
    const double ratio =
        kConcurrencyHeadroom * shortest / std::max(kMinRelativeTime, times_.recent_mean());
    const bool in_use = in_flight + 1 >= limit_ / 2;
    limit_ *= std::clamp(ratio, kMinDecreaseFactor, 1.0);
    if (ratio >= 1 && in_use) {
        limit_ += 1;
    }
    limit_ = std::max(kMinLimit, limit_);
}

}  // namespace tideline
