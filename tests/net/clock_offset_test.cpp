// Tests of the offset between the wall clock and the steady clock.
#include "net/clock_offset.hpp"

#include <catch2/catch.hpp>

namespace tideline::net {

// Guards against a clock that is wrong for the whole life of the process: if the process is
// preempted between the two readings, the offset is wrong by the length of the interruption. Times
// of fault tests were 0.5 s off in this way, and scenario shut-out failed because an attempt on
// trial seemed to be sent 4.51 s after the sidecar had stopped taking part.
TEST_CASE("an interruption between the readings of two clocks does not shift the clock") {
    const int interrupted_step = GENERATE(0, 1, 2, 3, 4);
    const Seconds true_offset = 1000;
    Seconds steady = 5;
    int step = 0;
    const auto pass = [&] { steady += step++ == interrupted_step ? 0.5 : 1e-6; };
    const auto read_steady = [&] {
        pass();
        return steady;
    };
    const auto read_wall = [&] {
        pass();
        return steady + true_offset;
    };
    CHECK(clock_offset(read_steady, read_wall) == Approx(true_offset).margin(1e-5));
}

TEST_CASE("clocks that are interrupted each time are read all the same, as closely as it goes") {
    Seconds steady = 5;
    Seconds gap = 0.5;
    const auto read_steady = [&] {
        steady += gap;
        gap = gap > 0.001 ? gap * 0.9 : gap;
        return steady;
    };
    CHECK(clock_offset(read_steady, [&] { return steady + 1000; }) == Approx(1000).margin(0.02));
}

}  // namespace tideline::net
