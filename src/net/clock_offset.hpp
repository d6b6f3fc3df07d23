// How far the wall clock is ahead of the steady clock.
#pragma once

#include <algorithm>
#include <limits>

#include "policy/types.hpp"

namespace tideline::net {

// Readings that are tried for one that nothing interrupted.
constexpr int kMaxClockReadings = 32;
// Two readings of one clock so close together, s, enclose one of the other well enough.
constexpr Seconds kTightClockReadingThreshold = 20e-6;

// The process may lose its core between reading one clock and the other: that would shift all its
// times for good. So the reading that the steady clock encloses most tightly counts. Both arguments
// are functions without arguments that return seconds.
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
