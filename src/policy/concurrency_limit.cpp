#include "policy/concurrency_limit.hpp"

#include <algorithm>

namespace tideline {
namespace {

constexpr std::size_t kBatchSize = 6;    // answers averaged into one response time
constexpr std::size_t kMaxBatches = 40;  // enough to remember the shortest time during congestion
constexpr double kInitialLimit = 4;      // attempts at an endpoint of which nothing is known
constexpr double kMinLimit = 1;          // attempts; enough to go on measuring response times
// The limit falls once the recent response time exceeds this multiple of the shortest one.
constexpr double kConcurrencyHeadroom = 2;
// Bounds of the shortest relative time. The minimum over many short batches is far below the usual
// time, and a minimum measured during congestion is far above it.
constexpr double kMinShortestTime = 0.8;
constexpr double kMaxShortestTime = 1.25;
constexpr double kMinDecreaseFactor = 0.5;  // the strongest decrease after one batch
constexpr double kMinRelativeTime = 1e-9;   // keeps the quotient finite

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
