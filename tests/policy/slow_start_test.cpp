// Tests of what a just started endpoint may get.
#include "policy/slow_start.hpp"

#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

// A slow start of 4 s from 35% of the capacity, and a window of 3 s.
const PolicySettings& slow_start_settings() {
    static const PolicySettings settings(basic_settings());
    return settings;
}

TEST_CASE("the capacity of an endpoint grows evenly over its slow start") {
    const SlowStart slow_start(slow_start_settings(), 0);
    const EndpointInfo fresh = endpoint("a", 1, 100);
    CHECK(slow_start.capacity(fresh, 100) == Approx(0.35));
    CHECK(slow_start.capacity(fresh, 102) == Approx(0.675));
    CHECK(slow_start.capacity(fresh, 104) == 1);
    CHECK(slow_start.is_warming_up(fresh, 103.9));
    CHECK_FALSE(slow_start.is_warming_up(fresh, 104));
    CHECK_FALSE(slow_start.is_warming_up(endpoint("b", 1, 0), 1));  // started long ago
}

TEST_CASE("answers of an endpoint in the first half of its slow start are no evidence") {
    const SlowStart slow_start(slow_start_settings(), 0);
    const EndpointInfo fresh = endpoint("a", 1, 100);
    CHECK(slow_start.is_too_young_for_evidence(fresh, 101.9));
    CHECK_FALSE(slow_start.is_too_young_for_evidence(fresh, 102));
}

TEST_CASE("the even share counts what was served in the last ten seconds") {
    SlowStart slow_start(slow_start_settings(), 0);
    for (int i = 0; i < 100; ++i) {
        slow_start.request_served(90 + i * 0.1);
    }
    CHECK(slow_start.even_share(100, 3) == Approx(10.0));
    CHECK(slow_start.even_share(120, 3) == 0);
}

TEST_CASE("a cold endpoint gets its own limit, counted over the window of the rule") {
    const SlowStart slow_start(slow_start_settings(), 0);
    RandomSource random(5);
    SlowStartUsage usage;
    const EndpointInfo fresh = endpoint("a", 1, 100);
    int sent = 0;
    while (slow_start.within_own_limit(usage, fresh, 10, 100, random) && sent < 100) {
        slow_start.attempt_sent(usage, 100);
        ++sent;
    }
    // 0.6 times 2.5 times 35% of ten requests, plus a rounding draw below 1.
    CHECK(sent == Approx(5.25).margin(1));
    CHECK(slow_start.within_own_limit(usage, fresh, 10, 103.1, random));
}

TEST_CASE("a grant of the coordinator limits further while it is valid") {
    const SlowStart slow_start(slow_start_settings(), 0);
    SlowStartUsage usage;
    CHECK(slow_start.within_grant(usage, 100));
    usage.grant(1, 102);
    CHECK(slow_start.within_grant(usage, 100));
    slow_start.attempt_sent(usage, 100);
    CHECK_FALSE(slow_start.within_grant(usage, 100));
    CHECK(slow_start.within_grant(usage, 102));
}

}  // namespace
}  // namespace tideline::test
