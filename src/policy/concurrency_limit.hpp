// How many own attempts may be in flight at one endpoint. The limit follows the response times: it
// falls while they are longer than when the endpoint is idle, and grows by one while it is used.
// Response times are relative to the shortest of their request class.
#pragma once

#include "policy/samples.hpp"

namespace tideline {

class ConcurrencyLimit {
  public:
    ConcurrencyLimit();

    void attempt_answered(double relative_time, int in_flight);

    double limit() const {
        return limit_;
    }
    // Answers in the newest run, and their mean relative response time.
    std::size_t recent_answers() const {
        return times_.recent_count();
    }
    double recent_time() const {
        return times_.recent_mean();
    }

  private:
    void adjust(int in_flight);

    BatchedMeans times_;
    double limit_;
};

}  // namespace tideline
