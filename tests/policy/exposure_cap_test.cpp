// Tests of the exposure of a build on trial, and of one-way keys.
#include "policy/exposure_cap.hpp"

#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

// A sidecar started at time 0 that lists endpoints of the earlier build 1 and of build 2, which is
// in its first stage.
struct Trial {
    explicit Trial(Settings raw = basic_settings()) : settings(std::move(raw)) {
        endpoints.update(0, EndpointListKind::complete, {endpoint("a", 1), endpoint("b", 2)});
    }
    void announce(Phase phase, double cap, Seconds now) {
        release.update({Build{2}, Stage{0}, phase, cap, now}, now, settings.drain_grace);
        exposure.release_updated();
    }

    PolicySettings settings;
    RandomSource random{5};
    EndpointSet endpoints;
    ReleaseState release;
    ExposureCap exposure{settings, endpoints, release, random, 0};
};

TEST_CASE("without a release status all builds but the oldest listed are on trial") {
    Trial trial;
    CHECK_FALSE(trial.exposure.is_on_trial(Build{1}));
    CHECK(trial.exposure.is_on_trial(Build{2}));
    trial.announce(Phase::released, 1, 0);
    CHECK_FALSE(trial.exposure.is_on_trial(Build{2}));
    CHECK(trial.exposure.is_on_trial(Build{3}));
}

TEST_CASE("a build on trial gets the cap's share of the requests of a window") {
    Trial trial;
    trial.announce(Phase::trial, 0.2, 0);
    const Request request;
    int exposed = 0;
    for (int i = 0; i < 100; ++i) {
        trial.exposure.request_received(1, RequestClass{0});
        if (trial.exposure.decide(1, request, Build{2}) == ExposureDecision::allowed) {
            trial.exposure.attempt_sent(1, RequestClass{0}, Build{2});
            ++exposed;
        }
    }
    CHECK(exposed == 20);
    CHECK(trial.exposure.decide(1, request, Build{2}) == ExposureDecision::cap_reached);
    CHECK(trial.exposure.decide(1, request, Build{1}) == ExposureDecision::allowed);
}

TEST_CASE("a cap of 0 closes a build and recalls what was sent to it") {
    Trial trial;
    trial.announce(Phase::trial, 0.2, 0);
    CHECK_FALSE(trial.exposure.is_closed(Build{2}));
    CHECK_FALSE(trial.exposure.recalls(Build{2}, 0));
    trial.announce(Phase::reverting, 0, 1);
    CHECK(trial.exposure.decide(1, Request{}, Build{2}) == ExposureDecision::no_exposure);
    CHECK(trial.exposure.is_closed(Build{2}));
    CHECK(trial.exposure.recalls(Build{2}, 1));
}

TEST_CASE("a restricted participation closes the trial whatever the cap says") {
    Trial trial;
    trial.announce(Phase::trial, 0.2, 0);
    trial.release.restrict_to(TrialParticipation::no_trial, 0, 0.25);
    CHECK(trial.exposure.decide(0, Request{}, Build{2}) == ExposureDecision::no_exposure);
}

TEST_CASE("guarded stages get idempotent requests only") {
    Settings raw = basic_settings();
    raw["release.guarded_stages"] = 1.0;
    raw["operations.0.effect"] = std::string("side-effecting");
    Trial trial(raw);
    trial.announce(Phase::trial, 0.2, 0);
    CHECK(trial.exposure.decide(0, Request{}, Build{2}) == ExposureDecision::guarded_stage);
}

TEST_CASE("a key answered by a new build goes to no older one until the build is withdrawn") {
    Settings raw = basic_settings();
    raw["release.one_way_keys"] = 1.0;
    Trial trial(raw);
    trial.announce(Phase::trial, 0.2, 0);
    Request request;
    request.key = ObjectKey{9};
    CHECK(trial.exposure.decide(0, request, Build{1}) == ExposureDecision::allowed);
    trial.exposure.request_answered(request, Build{2});
    CHECK(trial.exposure.decide(0, request, Build{1}) == ExposureDecision::one_way_key);
    trial.announce(Phase::withdrawn, 0, 1);
    CHECK(trial.exposure.decide(1, request, Build{1}) == ExposureDecision::allowed);
}

}  // namespace
}  // namespace tideline::test
