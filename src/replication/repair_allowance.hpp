// Limits the bytes a second that are sent to members that catch up.
#pragma once

#include <algorithm>

#include "replication/replica_limits.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// A token bucket: holds at most what the rate allows in kRepairAllowanceWindowSeconds. It may be
// overdrawn by one record. One thread; no clock.
class RepairAllowance {
  public:
    // `rate` is in bytes a second.
    RepairAllowance(double rate, Seconds now) : rate_(rate), updated_at_(now) {}

    // Adds what the rate allows since the last call.
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
    // Bytes that may be sent; below zero after an overdraft.
    double bytes_ = 0;
    Seconds updated_at_;
};

}  // namespace tideline::replication
