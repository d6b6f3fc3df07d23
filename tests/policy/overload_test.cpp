// Tests of what is shed under overload, and of what the policy does after this process was paused.
#include "policy_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE("under load the request with the highest value for its work is sent first") {
    Settings settings = two_equal_request_classes();
    settings["operations.0.billed_value"] = 1.0;
    settings["operations.1.billed_value"] = 6.0;
    Sidecar sidecar(settings);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached, {endpoint("a", 1)});
    sidecar.serve_steadily(40, 0.02);
    while (sidecar.host.rejected.empty()) {
        sidecar.receive_request(0);  // the endpoint is full, and the queue is as long as it can be
    }
    const std::size_t before = sidecar.host.sent.size();
    const SentAttempt first = sidecar.host.sent.back();
    const RequestId valuable = sidecar.receive_request(1);
    sidecar.end_attempt(first, Outcome::succeeded);
    REQUIRE(sidecar.host.sent.size() == before + 1);
    CHECK(sidecar.host.sent.back().request == valuable);
}

TEST_CASE(
    "under overload a part of the requests is rejected at once, and all are sent again when it is "
    "over") {
    Sidecar sidecar;
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached,
                                     {endpoint("a", 1), endpoint("b", 1)});
    sidecar.serve_steadily(60, 0.1);
    CHECK(sidecar.host.rejected.empty());
    for (int i = 0; i < 100; ++i) {  // each answer takes 1.5 s, with an SLO time of 0.6 s
        const std::size_t before = sidecar.host.sent.size();
        sidecar.receive_request();
        if (sidecar.host.sent.size() == before) {
            continue;
        }
        const SentAttempt sent = sidecar.host.sent.back();
        sidecar.run(1.5);
        sidecar.end_attempt(sent, Outcome::succeeded, 0, 1.5);
    }
    CHECK(sidecar.host.rejected.size() > 60);
    sidecar.serve_steadily(100, 0.1);
    const std::size_t rejected = sidecar.host.rejected.size();
    sidecar.serve_steadily(50, 0.1);
    CHECK(sidecar.host.rejected.size() == rejected);
}

TEST_CASE("a sidecar that was paused queues nothing for a while: it may be paused again") {
    const bool paused = GENERATE(false, true);
    Sidecar sidecar;
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached, {endpoint("a", 1)});
    sidecar.serve_steadily(40, 0.02);
    if (paused) {
        sidecar.now += 1.5;
    } else {
        sidecar.run(1.5);
    }
    const std::size_t before = sidecar.host.sent.size();
    int received = 0;
    while (sidecar.host.sent.size() == before + static_cast<std::size_t>(received)) {
        sidecar.receive_request();
        ++received;  // until a request is not sent
    }
    CHECK(sidecar.host.rejected.size() == (paused ? 1u : 0u));
}
