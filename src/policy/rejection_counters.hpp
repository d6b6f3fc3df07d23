// Counts the requests rejected since the start, by reason.
#pragma once

#include <array>
#include <cstddef>

#include "policy/records.hpp"

namespace tideline {

class RejectionCounters {
  public:
    void count(RejectionReason reason) {
        ++counts_[static_cast<std::size_t>(reason)];
    }
    long of(RejectionReason reason) const {
        return counts_[static_cast<std::size_t>(reason)];
    }

  private:
    std::array<long, kRejectionReasonCount> counts_{};
};

}  // namespace tideline
