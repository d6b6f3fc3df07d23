// Sheds a share of the requests while answers come late. With hundreds of sidecars no concurrency
// limit binds, and a jam would feed itself by second attempts.
#pragma once

#include "policy/random_source.hpp"
#include "policy/types.hpp"

namespace tideline {

class LoadShedder {
  public:
    // `relative_time`: what answers of all endpoints take at present, over the shortest time.
    void attempt_ended(Outcome outcome, Seconds since_received, Seconds slo_time,
                       double relative_time);
    bool sheds(RandomSource& random) const {
        return random.uniform(0, 1) > sent_share_;
    }
    bool is_active() const {
        return sent_share_ < 1;
    }

  private:
    double sent_share_ = 1;  // of the requests, that is sent on
};

}  // namespace tideline
