#include "policy/response_times.hpp"

#include <algorithm>

namespace tideline {
namespace {

constexpr std::size_t kMaxRecentTimes = 64;  // per request class; enough for a steady median
constexpr std::size_t kBatchSize = 12;       // answers averaged into one response time
constexpr std::size_t kMaxBatches = 60;
constexpr std::size_t kMaxRelativeTimes = 12;    // answers of all endpoints
constexpr double kUnloadedSloShare = 0.167;      // of the SLO time; answers take less without load
constexpr double kAssumedMedianSloShare = 0.25;  // of the SLO time, before the first answer
constexpr Seconds kMinTime = 1e-6;               // keeps quotients finite

}  // namespace

ResponseTimes::ClassTimes::ClassTimes()
    : recent(kMaxRecentTimes), batch_means(kBatchSize, kMaxBatches) {}

ResponseTimes::ResponseTimes(const PolicySettings& settings)
    : settings_(settings),
      times_(settings.request_classes.size()),
      recent_relative_times_(kMaxRelativeTimes) {}

void ResponseTimes::attempt_answered(RequestClass request_class, Seconds took) {
    ClassTimes& times = times_[static_cast<std::size_t>(request_class.value)];
    times.recent.add(took);
    times.batch_means.add(took);
    recent_relative_times_.add(relative(request_class, took));
}

void ResponseTimes::attempt_timed_out(RequestClass request_class, Seconds took) {
    recent_relative_times_.add(relative(request_class, took));
}

Seconds ResponseTimes::shortest(RequestClass request_class) const {
    const Seconds slo_time = settings_.of(request_class).slo_time;
    const ClassTimes& times = of(request_class);
    const Seconds measured_time =
        times.batch_means.has_batch() ? times.batch_means.min_mean() : slo_time;
    return std::min(kUnloadedSloShare * slo_time, measured_time);
}

Seconds ResponseTimes::median(RequestClass request_class) const {
    const ClassTimes& times = of(request_class);
    if (times.recent.empty()) {
        return kAssumedMedianSloShare * settings_.of(request_class).slo_time;
    }
    return quantile(times.recent, 0.5);
}

double ResponseTimes::relative(RequestClass request_class, Seconds took) const {
    return took / std::max(kMinTime, shortest(request_class));
}

double ResponseTimes::recent_relative() const {
    return quantile(recent_relative_times_, 0.5);
}

}  // namespace tideline
