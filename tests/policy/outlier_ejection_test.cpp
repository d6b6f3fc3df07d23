// Tests of the ejection of one endpoint: when it happens, how long it lasts, and how it ends.
#include "policy/outlier_ejection.hpp"

#include <catch2/catch.hpp>

namespace tideline::test {
namespace {

TEST_CASE("five failures in a row call for an ejection, and an answer starts the count again") {
    OutlierEjection health;
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(health.attempt_failed(1));
    }
    health.attempt_succeeded(1);
    for (int i = 0; i < 4; ++i) {
        CHECK_FALSE(health.attempt_failed(1));
    }
    CHECK(health.attempt_failed(1));
}

TEST_CASE("each ejection is twice as long, up to six seconds, scattered by a quarter") {
    OutlierEjection health;
    RandomSource random(3);
    Seconds now = 0;
    for (const Seconds expected : {0.5, 1.0, 2.0, 4.0, 6.0, 6.0}) {
        health.eject(now, 1, random);
        CHECK(health.is_ejected(now + 0.749 * expected));
        now += 1.251 * expected;
        CHECK(health.next_recovery_step(now, false) == RecoveryStep::none);
        CHECK_FALSE(health.is_ejected(now));
        CHECK(health.allows_single_attempt_only());
    }
}

TEST_CASE("after an ejection a health check is sent once, and its success admits one attempt") {
    OutlierEjection health;
    RandomSource random(3);
    health.eject(0, 1, random);
    CHECK(health.next_recovery_step(0.1, true) == RecoveryStep::none);
    CHECK(health.next_recovery_step(1, true) == RecoveryStep::send_health_check);
    CHECK(health.next_recovery_step(1, true) == RecoveryStep::none);
    CHECK(health.awaits_health_check());
    CHECK(health.is_ejected(1));
    health.health_check_succeeded();
    CHECK_FALSE(health.is_ejected(1));
    CHECK(health.allows_single_attempt_only());
    health.attempt_succeeded(1.1);
    CHECK_FALSE(health.allows_single_attempt_only());
}

TEST_CASE("a second ejection while the first lasts changes nothing") {
    OutlierEjection health;
    RandomSource random(3);
    health.eject(0, 1, random);
    CHECK(health.eject(0.1, 1, random) == EjectionLog::skip);
    CHECK(health.next_recovery_step(0.7, false) == RecoveryStep::none);
    CHECK(health.allows_single_attempt_only());
}

TEST_CASE("only ejections of the longest time are logged") {
    OutlierEjection health;
    RandomSource random(3);
    Seconds now = 0;
    for (int i = 0; i < 4; ++i, now += 10) {
        CHECK(health.eject(now, 1, random) == EjectionLog::skip);
    }
    CHECK(health.eject(now, 1, random) == EjectionLog::write);
}

TEST_CASE("an overloaded endpoint gets nothing for a tenth of a second, and no health check") {
    OutlierEjection health;
    RandomSource random(3);
    health.attempt_rejected(5, random);
    CHECK(health.is_ejected(5.07));
    CHECK_FALSE(health.is_ejected(5.13));
    CHECK(health.next_recovery_step(5.13, true) == RecoveryStep::none);
    CHECK_FALSE(health.allows_single_attempt_only());
}

}  // namespace
}  // namespace tideline::test
