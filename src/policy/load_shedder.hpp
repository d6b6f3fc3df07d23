// Sheds a share of the requests while answers come late. With hundreds of sidecars no concurrency
// limit is reached, and retries would keep an overload going.
#pragma once

#include "policy/random_source.hpp"
#include "policy/types.hpp"

namespace tideline {

class LoadShedder {
  public:
    // `relative_time`: the recent response time of all endpoints as a multiple of the shortest one.
    void attempt_ended(Outcome outcome, Seconds since_received, Seconds slo_time,
                       double relative_time);
    bool sheds(RandomSource& random) const {
        return random.uniform(0, 1) > sent_share_;
    }
    bool is_active() const {
        return sent_share_ < 1;
    }

  private:
    double sent_share_ = 1;  // share of the requests that is not shed
};

}  // namespace tideline
