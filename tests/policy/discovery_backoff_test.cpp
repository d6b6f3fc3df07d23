// Tests of the waits before the discovery service is called again.
#include "policy/discovery_backoff.hpp"

#include <catch2/catch.hpp>
#include <utility>

using namespace tideline;

TEST_CASE(
    "refused calls for the list back off over seconds at once, then over more, in a large fleet") {
    const auto wait_range = [](DiscoveryBackoff& backoff, WatchLoss loss, bool watched) {
        const auto wait = backoff.call_failed(loss, watched);
        return std::pair(wait.min, wait.max);
    };
    constexpr auto kEnded = WatchLoss::ended;
    DiscoveryBackoff single(1);
    CHECK(single.process_started().max == 0);
    CHECK(wait_range(single, kEnded, true) == std::pair(0.2, 0.4));
    CHECK(wait_range(single, kEnded, true) == std::pair(0.4, 0.8));
    for (int i = 0; i < 40; ++i) {
        CHECK(wait_range(single, kEnded, true).second == 1);
    }
    single.call_answered();
    CHECK(wait_range(single, kEnded, true) == std::pair(0.2, 0.4));
    // The longest wait does not grow with the fleet, since a discovery service is built for the
    // size of its fleet.
    const double sidecars = GENERATE(41.0, 300.0, 900.0);
    DiscoveryBackoff many(sidecars);
    CHECK(many.process_started().min == 0);
    CHECK(many.process_started().max == 1);
    // The first loss concerns this sidecar alone.
    CHECK(wait_range(many, kEnded, true) == std::pair(0.2, 0.4));
    CHECK(wait_range(many, kEnded, true) == std::pair(2.0, 10.0));
    CHECK(wait_range(many, WatchLoss::silent, true) == std::pair(4.0, 20.0));
    for (int i = 0; i < 40; ++i) {
        CHECK(wait_range(many, kEnded, true).second == 20);  // the upper limit of all waits
    }
    DiscoveryBackoff few(21);
    CHECK(few.process_started().max == Approx(20.0 / 30));
    for (int i = 0; i < 10; ++i) {
        wait_range(few, kEnded, true);
    }
    // 20 other sidecars at 2 calls per second.
    CHECK(wait_range(few, kEnded, true).second == Approx(10));
    DiscoveryBackoff just_started(sidecars);
    // All sidecars may have started together.
    CHECK(wait_range(just_started, kEnded, false).second == Approx(10));
}

TEST_CASE(
    "calls that do not reach discovery are repeated soon, in any fleet, with a backoff of their "
    "own") {
    DiscoveryBackoff backoff(300);
    const auto longest_wait = [&](WatchLoss loss) { return backoff.call_failed(loss, true).max; };
    CHECK(longest_wait(WatchLoss::ended) == Approx(0.4));
    CHECK(longest_wait(WatchLoss::unreachable) == Approx(0.4));
    CHECK(longest_wait(WatchLoss::unreachable) == Approx(0.8));
    CHECK(longest_wait(WatchLoss::unreachable) == Approx(1.6));
    for (int i = 0; i < 40; ++i) {
        CHECK(longest_wait(WatchLoss::unreachable) == Approx(3));
    }
    CHECK(longest_wait(WatchLoss::ended) == Approx(10));
    CHECK(longest_wait(WatchLoss::unreachable) == Approx(3));
    backoff.call_answered();
    CHECK(longest_wait(WatchLoss::unreachable) == Approx(0.4));
}
