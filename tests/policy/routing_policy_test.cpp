// Tests of the routing policy as a whole: which endpoints get requests, and which settings are
// refused.
#include "policy_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE("one short run of fast answers does not hold an endpoint's in-flight limit down") {
    Sidecar sidecar;
    sidecar.start_with_released_build({"a"});
    const std::size_t before = sidecar.host.sent.size();
    for (int i = 0; i < 120; ++i) {
        sidecar.serve(always_succeeds, 0, i >= 60 && i < 66 ? 0.02 : 0.05);
        sidecar.run(0.02);
    }
    REQUIRE(sidecar.host.sent.size() == before + 120);
    for (int i = 0; i < 4; ++i) {
        sidecar.receive_request();
    }
    CHECK(sidecar.host.sent.size() > before + 122);  // several attempts are in flight at once
}

TEST_CASE("an endpoint that fails every request at once does not attract requests") {
    Sidecar sidecar;
    sidecar.start_with_released_build({"a", "b", "c"});
    for (int i = 0; i < 200; ++i) {
        sidecar.serve([](const EndpointId& id) {
            return id.value == "a" ? Outcome::failed : Outcome::succeeded;
        });
        sidecar.run(0.02);
    }
    CHECK(sidecar.sent_to("a") < 20);
}

TEST_CASE(
    "an endpoint that answers nothing until a timeout gets no requests, unless this sidecar was "
    "paused") {
    const bool paused = GENERATE(false, true);
    Sidecar sidecar;
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached,
                                     {endpoint("a", 1), endpoint("b", 1)});
    for (int i = 0; i < 40; ++i) {
        sidecar.serve(always_succeeds);
    }
    sidecar.receive_request();
    const SentAttempt first = sidecar.host.sent.back();
    if (paused) {
        sidecar.now += 2;
    } else {
        sidecar.run(2);
    }
    sidecar.end_attempt(first, Outcome::timed_out, 0, 2);
    const std::size_t before = sidecar.sent_to(first.endpoint.value);
    for (int i = 0; i < 20; ++i) {
        sidecar.serve(always_succeeds);
    }
    CHECK((sidecar.sent_to(first.endpoint.value) == before) == !paused);
}

TEST_CASE("a setting that is missing or out of range is named in the error") {
    RecordingHost host;
    Settings settings = basic_settings();
    settings.erase("release.window");
    CHECK_THROWS_WITH(RoutingPolicy(host, settings, 1, 0), "missing term: release.window");
    settings = basic_settings();
    settings["rules.cold_share"] = 2.0;
    CHECK_THROWS_WITH(RoutingPolicy(host, settings, 1, 0), "term out of range: rules.cold_share");
}
