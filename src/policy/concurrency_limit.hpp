// Limits this sidecar's attempts in flight at one endpoint. The limit follows the response times:
// it falls while they are longer than at an idle endpoint, and otherwise grows by one per batch of
// answers while it is in use. Response times are relative to the shortest one of their request
// class.
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
    // The number of recent answers, and their mean relative response time.
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
