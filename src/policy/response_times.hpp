// Tracks the response times of each request class, and the recent response times of all endpoints
// relative to the shortest ones.
#pragma once

#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/samples.hpp"
#include "policy/types.hpp"

namespace tideline {

class ResponseTimes {
  public:
    explicit ResponseTimes(const PolicySettings& settings);

    void attempt_answered(RequestClass request_class, Seconds took);
    void attempt_timed_out(RequestClass request_class, Seconds took);

    Seconds shortest(RequestClass request_class) const;
    Seconds median(RequestClass request_class) const;
    // `took` as a multiple of the shortest time of the request class.
    double relative(RequestClass request_class, Seconds took) const;
    // Median of the newest relative times of all endpoints; 0 if there is none.
    double recent_relative() const;
    bool empty() const {
        return recent_relative_times_.empty();
    }

  private:
    struct ClassTimes {
        ClassTimes();
        SlidingWindow<double> recent;
        BatchedMeans batch_means;
    };

    const ClassTimes& of(RequestClass request_class) const {
        return times_[static_cast<std::size_t>(request_class.value)];
    }

    const PolicySettings& settings_;
    std::vector<ClassTimes> times_;
    SlidingWindow<double> recent_relative_times_;
};

}  // namespace tideline
