// The clock that measures the time of leases.
#pragma once

#include <ctime>

#include "policy/types.hpp"

namespace tideline::lease {

// Returns the seconds since the machine was booted. The clock is monotonic, also when the time of
// day is set. It includes the time for which the machine was suspended: with a clock that stops
// meanwhile, a holder would believe its lease valid after it expired.
inline Seconds boottime_now() {
    timespec at{};
    ::clock_gettime(CLOCK_BOOTTIME, &at);
    return static_cast<double>(at.tv_sec) + 1e-9 * static_cast<double>(at.tv_nsec);
}

}  // namespace tideline::lease
