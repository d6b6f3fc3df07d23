// Tests of the limit on the attempts in flight at one endpoint.
#include "policy/concurrency_limit.hpp"

#include <catch2/catch.hpp>

namespace tideline::test {
namespace {

void answer_batch(ConcurrencyLimit& limit, double relative_time, int in_flight) {
    for (int i = 0; i < 6; ++i) {
        limit.attempt_answered(relative_time, in_flight);
    }
}

TEST_CASE("the limit grows by one a run while it is used, and not while it is idle") {
    ConcurrencyLimit limit;
    CHECK(limit.limit() == 4);
    answer_batch(limit, 1, 4);
    CHECK(limit.limit() == 5);
    answer_batch(limit, 1, 0);
    CHECK(limit.limit() == 5);
}

TEST_CASE("the limit changes only at the end of a run") {
    ConcurrencyLimit limit;
    for (int i = 0; i < 5; ++i) {
        limit.attempt_answered(1, 4);
    }
    CHECK(limit.limit() == 4);
}

TEST_CASE("once answers take over twice the shortest time the limit falls, by half at most") {
    ConcurrencyLimit limit;
    answer_batch(limit, 1, 0);
    answer_batch(limit, 2.5, 4);
    CHECK(limit.limit() == Approx(4 * 2 / 2.5));
    answer_batch(limit, 100, 4);
    CHECK(limit.limit() == Approx(4 * 2 / 2.5 / 2));
}

TEST_CASE("one attempt is always allowed") {
    ConcurrencyLimit limit;
    answer_batch(limit, 1, 0);
    for (int i = 0; i < 20; ++i) {
        answer_batch(limit, 100, 4);
    }
    CHECK(limit.limit() == 1);
}

}  // namespace
}  // namespace tideline::test
