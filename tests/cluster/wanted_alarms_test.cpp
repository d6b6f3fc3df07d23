// Tests of the alarm changes that a lease holder sends to the planners.
#include "cluster/wanted_alarms.hpp"

#include <catch2/catch.hpp>

namespace tideline::test {

using cluster::AlarmChange;
using cluster::WantedAlarms;
using lease::LeaseName;

namespace {

const LeaseName kLease{"copies"};

AlarmChange raised(const std::string& text) {
    return {kLease, "few", true, text};
}
const AlarmChange kCleared{kLease, "few", false, ""};

}  // namespace

// Guards against dropping a change because another one of the same alarm was in flight.
TEST_CASE("a change of an alarm that comes while another is under way is sent after it") {
    WantedAlarms wanted;
    wanted.want(raised("14"));
    CHECK(wanted.take_due(10) == std::vector{raised("14")});
    wanted.want(raised("3"));
    wanted.want(kCleared);
    CHECK(wanted.take_due(10.1).empty());
    wanted.on_answer(10.2, kLease, "few", true);
    CHECK(wanted.take_due(10.2) == std::vector{kCleared});
    wanted.on_answer(10.3, kLease, "few", true);
    CHECK(wanted.take_due(20).empty());
    CHECK(wanted.due() == std::numeric_limits<double>::infinity());
}

TEST_CASE("a change of an alarm is sent again until it is committed") {
    WantedAlarms wanted;
    wanted.want(kCleared);
    REQUIRE(wanted.take_due(10).size() == 1);
    SECTION("after an answer that does not commit it") {
        wanted.on_answer(10.1, kLease, "few", false);
        CHECK(wanted.take_due(10.2).empty());
        CHECK(wanted.take_due(wanted.due()) == std::vector{kCleared});
    }
    SECTION("after a lost answer") {
        CHECK(wanted.take_due(14.9).empty());
        CHECK(wanted.take_due(15) == std::vector{kCleared});
    }
    SECTION("but not once the lease is lost") {
        wanted.forget(kLease);
        wanted.on_answer(10.1, kLease, "few", false);
        CHECK(wanted.take_due(100).empty());
    }
}

}  // namespace tideline::test
