// Tests of which evidence marks the build on trial, against values worked out by hand.
#include <deque>

#include "release_trial_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE("a score below three failures is 0, so two failures of three do not mark the build") {
    Sidecar sidecar;
    open_trial(sidecar, 0.5);
    count_answers(sidecar, 3, 2, 30);
    CHECK_FALSE(sidecar.host.logged("build marked"));
}

TEST_CASE(
    "three failures of four against none of thirty mark the build and vote it back, and the mark "
    "lasts") {
    // Shares 0.75 and 0; pooled share 3/34, error 0.151, z 4.97; odds 2/3 e^(2z-2), lfdr 0.0005 <=
    // 0.05.
    Sidecar sidecar;
    open_trial(sidecar, 0.5);
    count_answers(sidecar, 4, 3, 30);
    CHECK(sidecar.host.logged("charge=request_class_fails request_class=0 "));
    REQUIRE_FALSE(sidecar.host.votes.empty());
    CHECK(sidecar.host.votes.back().vote == Vote::back);
    sidecar.policy.vote_answered(sidecar.now, VoteReply::counted);
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{1}, Phase::trial, 0.5, 0);
    sidecar.run(7);
    CHECK(sidecar.host.votes.back().vote == Vote::back);
}

TEST_CASE("three failures of thirty do not mark the build: z 1.78 gives an lfdr of 0.24") {
    // Shares 0.1 and 0 of 30; pooled share 0.05, error 0.0563, z 1.78; odds 2/3 e^1.55 = 3.15, lfdr
    // 0.24.
    Sidecar sidecar;
    open_trial(sidecar, 0.9);
    count_answers(sidecar, 30, 3, 30);
    CHECK_FALSE(sidecar.host.logged("build marked"));
}

TEST_CASE("one failing endpoint does not condemn its build where endpoints as old serve well") {
    Sidecar sidecar;
    open_trial(sidecar, 0.9);
    for (int i = 0; i < 160; ++i) {  // the others give their ten answers before it breaks
        sidecar.serve([&](const EndpointId& id) {
            return i > 60 && id.value == "n" ? Outcome::failed : Outcome::succeeded;
        });
        sidecar.run(0.05);
    }
    CHECK(sidecar.sent_to("m") > 20);
    CHECK_FALSE(sidecar.host.logged("build marked"));
}

TEST_CASE(
    "endpoints that fail every request class do not condemn their build, unless most of its "
    "endpoints do") {
    Settings settings = two_equal_request_classes();
    settings["operations.1.repeat_window"] = settings["operations.0.repeat_window"];
    const int broken = GENERATE(1, 2, 4);  // of five endpoints
    Sidecar sidecar(settings);
    open_trial(sidecar, 0.9);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes,
                                     {endpoint("o", 2), endpoint("p", 2), endpoint("q", 2)});
    const std::string names = std::string("nmopq").substr(0, static_cast<std::size_t>(broken));
    // From the first answers on, when few answers yet count for the build.
    for (int i = 0; i < 200; ++i) {
        sidecar.serve(
            [&](const EndpointId& id) {
                return names.find(id.value) != names.npos ? Outcome::failed : Outcome::succeeded;
            },
            i % 2);
        sidecar.run(0.05);
    }
    CHECK(sidecar.sent_to("n") > 5);
    CHECK(sidecar.host.logged("build marked") == (broken == 4));
}

TEST_CASE(
    "a request whose answer is malformed may have run, is retried where allowed, and marks no "
    "build") {
    Sidecar sidecar;
    open_trial(sidecar, 0.9);
    for (int i = 0; i < 160; ++i) {
        sidecar.serve([&](const EndpointId& id) {
            return id.value >= "m" && i % 3 == 0 ? Outcome::malformed : Outcome::succeeded;
        });
        sidecar.run(0.05);
    }
    CHECK(sidecar.sent_to("n") > 20);
    CHECK_FALSE(sidecar.host.logged("build marked"));
    const std::size_t before = sidecar.host.sent.size();
    const RequestId request = sidecar.receive_request();
    REQUIRE(sidecar.host.sent.size() == before + 1);
    sidecar.policy.attempt_ended(sidecar.now, request, AttemptNumber{0},
                                 sidecar.host.sent.back().endpoint, Outcome::malformed, 0.1, false,
                                 {});
    CHECK(sidecar.host.sent.size() == before + 2);
}

TEST_CASE("a tally names no endpoint, and nothing is ever sent to an endpoint without a name") {
    Sidecar sidecar;
    open_trial(sidecar);
    sidecar.policy.tally_received(sidecar.now, Build{2}, RequestClass{0}, 50, 40, 0.1);
    sidecar.run(2);
    for (int i = 0; i < 50; ++i) {
        sidecar.serve(always_succeeds);
    }
    for (const SentAttempt& sent : sidecar.host.sent) {
        CHECK_FALSE(sent.endpoint.value.empty());
    }
}

TEST_CASE(
    "a flag for an answer of an endpoint's earlier build is no evidence against its new build") {
    Sidecar sidecar;
    open_trial(sidecar, 0.5);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes,
                                     {endpoint("n", 2, sidecar.now)});
    count_answers(sidecar, 4, 0, 60);
    for (int i = 0; i < 4; ++i) {
        sidecar.policy.answer_flagged(sidecar.now, RequestClass{0}, EndpointId{"n"}, 600);
    }
    sidecar.run(1.1);
    CHECK_FALSE(sidecar.host.logged("build marked"));
}

TEST_CASE("flags are compared with all answers of the earlier builds") {
    const bool seen_before = GENERATE(true, false);
    Sidecar sidecar;
    sidecar.start_with_released_build({"a", "b"});
    for (int i = 0; seen_before && i < 600; ++i) {
        sidecar.serve(always_succeeds);
        sidecar.run(0.02);
    }
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes, {endpoint("c", 2)});
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::trial, 0.5, 0);
    while (sidecar.sent_to("c") < 200) {
        sidecar.serve(always_succeeds);
        sidecar.run(0.02);
    }
    for (int i = 0; i < 5; ++i) {
        sidecar.policy.answer_flagged(sidecar.now, RequestClass{0}, EndpointId{"c"}, 0);
    }
    // 5 of 200 answers flagged against 0 of about 200 is weak evidence; against 0 of 800 it is
    // enough.
    sidecar.run(1.1);
    CHECK(sidecar.host.logged("charge=answers_flagged ") == seen_before);
}

TEST_CASE(
    "a build that slows the earlier endpoints too is marked, and an overload by more requests is "
    "not") {
    const bool more_requests = GENERATE(false, true);
    Sidecar sidecar;
    sidecar.start_with_released_build({"a", "b", "c"});
    sidecar.serve_steadily(120, 0.05);
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::trial, 0.1, 0);
    for (int i = 0; i < 80; ++i) {
        for (int k = 0; k < (more_requests ? 3 : 1); ++k) {
            sidecar.serve(always_succeeds, 0, i < 20 ? 0.1 : 0.3);
        }
        sidecar.run(0.05);
    }
    CHECK(sidecar.host.logged("charge=slows_all_endpoints ") == !more_requests);
}

TEST_CASE("rejected clients that retry do not hide a build that slows all endpoints") {
    Sidecar sidecar;
    sidecar.start_with_released_build({"a", "b", "c"});
    sidecar.serve_steadily(120, 0.05);
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::trial, 0.1, 0);
    std::deque<std::pair<Seconds, SentAttempt>> in_flight;
    std::size_t seen = sidecar.host.sent.size();
    // Three times as many requests arrive, but few of them are sent.
    for (int i = 0; i < 200; ++i) {
        for (int k = 0; k < 3; ++k) {
            sidecar.receive_request();
        }
        for (; seen < sidecar.host.sent.size(); ++seen) {
            in_flight.push_back({sidecar.now + 0.9, sidecar.host.sent[seen]});
        }
        for (; !in_flight.empty() && in_flight.front().first <= sidecar.now;
             in_flight.pop_front()) {
            sidecar.end_attempt(in_flight.front().second, Outcome::succeeded, 0, 0.9);
        }
        sidecar.run(0.05);
    }
    CHECK(sidecar.host.rejected.size() > 200);
    CHECK(sidecar.host.logged("charge=slows_all_endpoints "));
}

TEST_CASE("slowness is no evidence under load, and less where one vote decides for many sidecars") {
    const bool under_pressure = GENERATE(false, true);
    const bool many_sidecars = GENERATE(false, true);
    Settings settings = basic_settings();
    settings["sidecars"] = many_sidecars ? 1e6 : 1.0;
    Sidecar sidecar(settings);
    open_trial(sidecar, 0.5);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes,
                                     {endpoint("o", 2), endpoint("p", 2), endpoint("q", 2),
                                      endpoint("r", 2), endpoint("s", 2), endpoint("t", 2)});
    for (int i = 0; i < 150; ++i) {
        // More requests than all endpoints have capacity for, so that one has to wait.
        if (under_pressure && i % 10 == 0) {
            std::vector<SentAttempt> in_flight;
            const std::size_t before = sidecar.host.sent.size();
            for (int k = 0; k < 60; ++k) {
                sidecar.receive_request();
            }
            in_flight.assign(sidecar.host.sent.begin() + static_cast<std::ptrdiff_t>(before),
                             sidecar.host.sent.end());
            for (const SentAttempt& sent : in_flight) {
                sidecar.end_attempt(sent, Outcome::overloaded);
            }
        }
        const std::size_t before = sidecar.host.sent.size();
        const RequestId request = sidecar.receive_request();
        if (sidecar.host.sent.size() == before) {
            continue;
        }
        const SentAttempt sent = sidecar.host.sent.back();
        sidecar.policy.attempt_ended(sidecar.now, request, AttemptNumber{0}, sent.endpoint,
                                     Outcome::succeeded, sent.endpoint.value > "b" ? 0.4 : 0.1,
                                     true, {});
        sidecar.run(0.06);
    }
    if (under_pressure || many_sidecars) {
        CHECK_FALSE(sidecar.host.logged("stage=0 charge=slow "));
    } else {
        CHECK(sidecar.host.logged("stage=0 charge=slow "));
    }
}

TEST_CASE(
    "a tally marks the request class that fails more than the others, not failures of all alike") {
    const bool all_classes_fail = GENERATE(false, true);
    Settings settings = two_equal_request_classes();
    Sidecar sidecar(settings);
    open_trial(sidecar);
    for (int class_index = 0; class_index < 2; ++class_index) {
        sidecar.policy.tally_received(sidecar.now, Build{1}, RequestClass{class_index}, 100, 1,
                                      0.1);
        sidecar.policy.tally_received(sidecar.now, Build{2}, RequestClass{class_index}, 20,
                                      class_index == 0 || all_classes_fail ? 12 : 0, 0.1);
    }
    sidecar.run(1.5);
    CHECK(sidecar.host.logged("charge=request_class_fails request_class=0 ") == !all_classes_fail);
}

TEST_CASE(
    "one failure of few answers marks a build where many back votes must agree, and not where one "
    "decides") {
    // 1 of 4 against 0 of 30: pooled share 0.029, error 0.0893, z 2.80, lfdr 0.04. Where one vote
    // decides, the score is 0 below three failures.
    const bool many_votes_needed = GENERATE(false, true);
    Settings settings = basic_settings();
    settings["sidecars"] = 100.0;
    settings["release.back_votes"] = many_votes_needed ? 12.0 : 1.0;
    Sidecar sidecar(settings);
    open_trial(sidecar, 0.5);
    count_answers(sidecar, 4, 1, 30);
    CHECK(sidecar.host.logged("fail") == many_votes_needed);
}

TEST_CASE("lost answers are no evidence that a build slows all endpoints") {
    Settings settings = basic_settings();
    settings["sidecars"] = 100.0;
    settings["release.back_votes"] = 12.0;
    Sidecar sidecar(settings);
    sidecar.start_with_released_build({"a", "b", "c"});
    sidecar.serve_steadily(120, 0.05);
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::trial, 0.1, 0);
    for (int i = 0; i < 60; ++i) {  // 9 of 20 answers are lost, the others are as fast as before
        std::vector<SentAttempt> lost;
        for (int k = 0; k < 9; ++k) {
            const std::size_t before = sidecar.host.sent.size();
            sidecar.receive_request();
            if (sidecar.host.sent.size() > before) {
                lost.push_back(sidecar.host.sent.back());
            }
        }
        sidecar.run(1.1);
        for (int k = 0; k < 11; ++k) {
            sidecar.serve(always_succeeds, 0, 0.1);
        }
        for (const SentAttempt& sent : lost) {
            sidecar.end_attempt(sent, Outcome::timed_out, 0, 2);
        }
    }
    CHECK_FALSE(sidecar.host.logged("charge=slows_all_endpoints "));
}
