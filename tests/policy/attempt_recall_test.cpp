// Tests of attempts that wait for a connection: when they may still be sent, and what happens to
// their requests.
#include "release_trial_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE(
    "a request that can't be retried fails at once, and one that may have run is not rejected") {
    Settings settings = basic_settings();
    settings["operations.0.effect"] = std::string("side-effecting");
    Sidecar sidecar(settings);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached,
                                     {endpoint("a", 1), endpoint("b", 1)});
    const RequestId request = sidecar.receive_request();
    sidecar.end_attempt(sidecar.host.sent.back(), Outcome::broken);
    CHECK(sidecar.host.sent.size() == 1);
    REQUIRE(sidecar.host.failed.size() == 1);
    CHECK(sidecar.host.failed[0] == request);
    CHECK(sidecar.host.rejected.empty());
}

TEST_CASE(
    "a retry that waited for its connection is not sent once its idempotency key may have "
    "expired") {
    Settings settings = basic_settings();
    settings["operations.0.effect"] = std::string("fingerprinted");
    settings["operations.0.repeat_window"] = 1.0;
    Sidecar sidecar(settings);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::complete,
                                     {endpoint("a", 1), endpoint("b", 1)});
    sidecar.policy.stage_announced(sidecar.now, Build{1}, Stage{0}, Phase::released, 1, 0);
    const RequestId request = sidecar.receive_request(0, {}, 5);
    REQUIRE(sidecar.host.sent.size() == 1);
    sidecar.run(0.2);
    sidecar.end_attempt(sidecar.host.sent[0], Outcome::broken);
    REQUIRE(sidecar.host.sent.size() == 2);
    CHECK(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{1}));
    sidecar.run(0.9);
    CHECK_FALSE(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{1}));
    sidecar.end_attempt(sidecar.host.sent[1], Outcome::never_sent, 1);
    CHECK(sidecar.host.sent.size() == 2);
    // The request may have run, so it is not rejected: a rejection says that a retry is safe.
    REQUIRE(sidecar.host.failed.size() == 1);
}

TEST_CASE(
    "an attempt that waits for a connection is recalled when it may no longer be sent, and "
    "retried") {
    Sidecar sidecar;
    sidecar.start_with_released_build({"a", "b"});
    const RequestId request = sidecar.receive_request();
    const SentAttempt first = sidecar.host.sent.back();
    CHECK(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{0}));
    EndpointInfo changed = endpoint(first.endpoint.value, 1);
    bool may_send = false;
    bool client_gone = false;
    SECTION("its endpoint drains") {
        changed.state = EndpointState::draining;
    }
    SECTION("its endpoint restarted") {
        changed.started = sidecar.now;
    }
    SECTION("its endpoint has another build") {
        changed.build = Build{2};
    }
    SECTION("the client disconnected") {
        sidecar.policy.request_abandoned(sidecar.now, request);
        client_gone = true;
    }
    SECTION("its endpoint has not changed") {
        may_send = true;
    }
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes, {changed});
    REQUIRE(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{0}) == may_send);
    if (may_send) {
        return;
    }
    sidecar.end_attempt(first, Outcome::never_sent);
    CHECK(sidecar.host.sent.size() == (client_gone ? 1 : 2));
    if (!client_gone) {
        CHECK(sidecar.host.sent.back().endpoint != first.endpoint);
    }
}

TEST_CASE("an attempt that waits for a connection is recalled once its build's cap falls") {
    Sidecar sidecar;
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached, {endpoint("a", 2)});
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{1}, Phase::trial, 1, 10);
    sidecar.run(4);
    const RequestId request = sidecar.receive_request();
    CHECK(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{0}));
    sidecar.run(0.1);
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::trial, 0.1, 0);
    CHECK_FALSE(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{0}));
}

TEST_CASE(
    "an attempt that waits for a connection to a trial endpoint is recalled once participation "
    "ends") {
    Sidecar sidecar;
    open_trial(sidecar, 1.0);
    while (sidecar.sent_to("n") + sidecar.sent_to("m") == 0) {
        sidecar.receive_request();
    }
    const SentAttempt sent = sidecar.host.sent.back();
    REQUIRE(sidecar.policy.may_still_send(sidecar.now, sent.request, AttemptNumber{0}));
    sidecar.policy.trial_participation_set(sidecar.now, TrialParticipation::no_trial);
    CHECK_FALSE(sidecar.policy.may_still_send(sidecar.now, sent.request, AttemptNumber{0}));
}
