// Tests of the watch on the endpoint list.
#include "policy/endpoint_discovery.hpp"

#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

PolicySettings settings_with_expiry() {
    Settings settings = basic_settings();
    settings["list.told_within"] = 6.0;
    settings["list.told"] = std::string("asked");
    return PolicySettings(settings);
}

TEST_CASE("a single sidecar opens its watch at once, and once only") {
    const PolicySettings settings = settings_with_expiry();
    RandomSource random(5);
    EndpointDiscovery discovery(settings, random);
    CHECK_FALSE(discovery.take_watch_due(10));
    discovery.process_started(10);
    CHECK(discovery.take_watch_due(10));
    CHECK_FALSE(discovery.take_watch_due(10));
}

TEST_CASE("a lost watch is opened again after its backoff") {
    const PolicySettings settings = settings_with_expiry();
    RandomSource random(5);
    EndpointDiscovery discovery(settings, random);
    discovery.confirmed(10);
    discovery.watch_lost(10, 10, WatchLoss::ended);
    CHECK_FALSE(discovery.take_watch_due(10.19));  // the first wait is at least half of 0.4 s
    CHECK(discovery.take_watch_due(10.41));
}

TEST_CASE("each change of the list's validity is reported once") {
    const PolicySettings settings = settings_with_expiry();
    RandomSource random(5);
    EndpointDiscovery discovery(settings, random);
    // The list was never confirmed.
    CHECK(discovery.check_validity(100) == ListValidityChange::none);
    discovery.confirmed(100);
    const Seconds until = discovery.freshness().usable_until();
    CHECK(discovery.check_validity(until) == ListValidityChange::none);
    CHECK(discovery.check_validity(until + 0.01) == ListValidityChange::expired);
    CHECK(discovery.check_validity(until + 0.02) == ListValidityChange::none);
    discovery.confirmed(until);
    CHECK(discovery.check_validity(until + 0.03) == ListValidityChange::valid_again);
}

}  // namespace
}  // namespace tideline::test
