// Tests of the share of the requests that is shed while answers come late.
#include "policy/load_shedder.hpp"

#include <catch2/catch.hpp>

namespace tideline::test {
namespace {

double shed_share(const LoadShedder& shedder) {
    RandomSource random(11);
    int shed = 0;
    constexpr int kDraws = 20000;
    for (int i = 0; i < kDraws; ++i) {
        shed += shedder.sheds(random) ? 1 : 0;
    }
    return static_cast<double>(shed) / kDraws;
}

TEST_CASE("late answers shed requests only while most answers are slow") {
    LoadShedder shedder;
    shedder.attempt_ended(Outcome::succeeded, 1.0, 0.6, 2.5);
    CHECK_FALSE(shedder.is_active());
    shedder.attempt_ended(Outcome::succeeded, 1.0, 0.6, 2.6);
    CHECK(shedder.is_active());
    CHECK(shed_share(shedder) == Approx(0.4).margin(0.02));
}

TEST_CASE("an overloaded endpoint sheds a fifth, and an answer in time ends it") {
    LoadShedder shedder;
    shedder.attempt_ended(Outcome::overloaded, 0.1, 0.6, 1);
    CHECK(shed_share(shedder) == Approx(0.2).margin(0.02));
    shedder.attempt_ended(Outcome::succeeded, 0.1, 0.6, 1);
    CHECK_FALSE(shedder.is_active());
}

TEST_CASE("a tenth of the requests is always sent") {
    LoadShedder shedder;
    for (int i = 0; i < 50; ++i) {
        shedder.attempt_ended(Outcome::timed_out, 100, 0.6, 10);
    }
    CHECK(shed_share(shedder) == Approx(0.9).margin(0.02));
}

TEST_CASE("failed and unreachable attempts say nothing of load") {
    LoadShedder shedder;
    shedder.attempt_ended(Outcome::failed, 100, 0.6, 10);
    shedder.attempt_ended(Outcome::unreachable, 100, 0.6, 10);
    CHECK_FALSE(shedder.is_active());
}

}  // namespace
}  // namespace tideline::test
