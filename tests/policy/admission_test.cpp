// Tests of admission control: the reasons for which requests are rejected.
#include "policy/admission.hpp"

#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

struct AdmissionUnderTest {
    explicit AdmissionUnderTest(const Settings& raw = basic_settings()) : settings(raw) {}

    PolicySettings settings;
    RandomSource random{5};
    ResponseTimes response_times{settings};
    RetryPolicy retry_policy{settings};
    PauseDetector pauses{0};
    RequestTable requests;
    Admission admission{settings, response_times, retry_policy, pauses, random};
};

Request received_at(Seconds now) {
    Request request;
    request.received_at = now;
    request.deadline = now + 2;
    return request;
}

TEST_CASE("a request with all its attempts used is rejected for that reason") {
    AdmissionUnderTest test;
    Request request = received_at(1);
    CHECK(test.admission.decide(1, request, test.requests).is_admitted());
    request.attempts.resize(4);
    const AdmissionDecision decision = test.admission.decide(1, request, test.requests);
    REQUIRE_FALSE(decision.is_admitted());
    CHECK(decision.reason() == RejectionReason::attempts_used);
}

TEST_CASE("a tenant beyond its quota is rejected only while others wait") {
    Settings raw = basic_settings();
    raw["over_share_value"] = 0.5;
    raw["customers.count"] = 2.0;
    raw["customers.0.share"] = 0.5;
    raw["customers.1.share"] = 0.5;
    AdmissionUnderTest test(raw);
    for (int i = 0; i < 20; ++i) {
        test.admission.request_received(1, TenantId{i < 16 ? 0 : 1});
    }
    Request over = received_at(1);
    over.tenant = TenantId{0};
    Request within = received_at(1);
    within.tenant = TenantId{1};
    CHECK(test.admission.decide(1, over, test.requests).is_admitted());
    test.requests.enqueue(RequestId{1}, test.requests.add(RequestId{1}, received_at(1)));
    const AdmissionDecision decision = test.admission.decide(1, over, test.requests);
    REQUIRE_FALSE(decision.is_admitted());
    CHECK(decision.reason() == RejectionReason::over_quota);
    CHECK(test.admission.decide(1, within, test.requests).is_admitted());
    CHECK(test.admission.decide(7, over, test.requests).is_admitted());
}

TEST_CASE("after a pause nothing is queued for ten seconds") {
    AdmissionUnderTest test;
    test.pauses.record_event(0.5);
    CHECK(test.admission.decide_queueing(0.5).is_admitted());
    test.pauses.record_event(1.2);
    const AdmissionDecision decision = test.admission.decide_queueing(11.1);
    REQUIRE_FALSE(decision.is_admitted());
    CHECK(decision.reason() == RejectionReason::paused);
    CHECK(test.admission.decide_queueing(11.3).is_admitted());
}

TEST_CASE("a first attempt waits for 35% of the SLO time at most, whatever the deadline") {
    AdmissionUnderTest test;
    const Request request = received_at(1);
    CHECK(test.admission.latest_useful_send(request) == Approx(1 + 0.35 * 0.6));
    Request short_deadline = request;
    short_deadline.deadline = 1.1;
    CHECK(test.admission.latest_useful_send(short_deadline) == Approx(1.06));
    CHECK(test.admission.decide_wait(1.2, request, test.requests).is_admitted());
    const AdmissionDecision decision = test.admission.decide_wait(1.22, request, test.requests);
    REQUIRE_FALSE(decision.is_admitted());
    CHECK(decision.reason() == RejectionReason::too_late);
}

TEST_CASE("a queue that is served too slowly leaves no time to wait") {
    AdmissionUnderTest test;
    for (int i = 0; i < 30; ++i) {
        test.admission.request_served(1);  // a service rate of 10 requests per second
    }
    for (std::uint64_t id = 1; id <= 2; ++id) {
        test.requests.enqueue(RequestId{id}, test.requests.add(RequestId{id}, received_at(1)));
    }
    CHECK(test.admission.decide_wait(1, received_at(1), test.requests).is_admitted());
    test.requests.enqueue(RequestId{3}, test.requests.add(RequestId{3}, received_at(1)));
    CHECK_FALSE(test.admission.decide_wait(1, received_at(1), test.requests).is_admitted());
}

TEST_CASE("the advice to rejected clients is scattered between half and all of the longest") {
    AdmissionUnderTest test;
    for (int i = 0; i < 100; ++i) {
        const Seconds advice = test.admission.retry_after();
        CHECK(advice >= 0.5);
        CHECK(advice <= 1.0);
    }
}

}  // namespace
}  // namespace tideline::test
