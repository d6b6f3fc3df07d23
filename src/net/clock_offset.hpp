// Measures the offset between the wall clock and the steady clock.
#pragma once

#include <algorithm>
#include <limits>

#include "policy/types.hpp"

namespace tideline::net {

// Maximum number of attempts to read both clocks without an interruption in between.
constexpr int kMaxClockReadings = 32;
// Two readings of the steady clock that are at most this far apart, in seconds, give the offset of
// a wall clock reading between them with sufficient precision.
constexpr Seconds kTightClockReadingThreshold = 20e-6;

// Returns the wall clock's lead over the steady clock in seconds. If the process is preempted
// between the two readings, the offset is wrong by the length of the interruption, and so is every
// time derived from it. Therefore the wall clock is read between two readings of the steady clock,
// several times, and the reading with the shortest gap is used. Both arguments are callables
// without parameters that return seconds.
template <class ReadSteady, class ReadWall>
Seconds clock_offset(ReadSteady read_steady, ReadWall read_wall) {
    Seconds tightest = std::numeric_limits<Seconds>::infinity();
    Seconds offset = 0;
    for (int i = 0; i < kMaxClockReadings && tightest > kTightClockReadingThreshold; ++i) {
        const Seconds before = read_steady();
        const Seconds wall = read_wall();
        const Seconds after = read_steady();
        if (after - before < tightest) {
            tightest = after - before;
            offset = wall - (before + after) / 2;
        }
    }
    return offset;
}

}  // namespace tideline::net
