// Limits the bytes per second that are sent to members that catch up.
#pragma once

#include <algorithm>

#include "replication/replica_limits.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// A token bucket. Its capacity is the rate times kRepairAllowanceWindowSeconds, and one record may
// overdraw it. Single-threaded; reads no clock.
class RepairAllowance {
  public:
    // `rate` is in bytes per second.
    RepairAllowance(double rate, Seconds now) : rate_(rate), updated_at_(now) {}

    // Adds the bytes that have accrued since the last call.
    void refill(Seconds now) {
        bytes_ =
            std::min(kRepairAllowanceWindowSeconds * rate_, bytes_ + (now - updated_at_) * rate_);
        updated_at_ = now;
    }
    bool is_spent() const {
        return bytes_ <= 0;
    }
    void spend(std::size_t bytes) {
        bytes_ -= static_cast<double>(bytes);
    }

  private:
    double rate_;
    // Bytes that may be sent; negative after an overdraft.
    double bytes_ = 0;
    Seconds updated_at_;
};

}  // namespace tideline::replication
