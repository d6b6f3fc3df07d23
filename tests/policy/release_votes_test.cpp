// Tests of the votes in a release trial: when they are cast, renewed, held and withdrawn.
#include <algorithm>

#include "release_trial_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE(
    "an on vote is cast after the stage's least time, renewed late, and cast again if it was "
    "lost") {
    Sidecar sidecar;
    open_trial(sidecar);
    sidecar.run(1.9);
    CHECK(sidecar.host.votes.empty());
    sidecar.run(0.3);
    REQUIRE(sidecar.host.votes.size() == 1);
    CHECK(sidecar.host.votes[0].vote == Vote::on);
    sidecar.policy.vote_answered(sidecar.now, VoteReply::failed);
    sidecar.run(0.6);
    REQUIRE(sidecar.host.votes.size() == 2);
    sidecar.policy.vote_answered(sidecar.now, VoteReply::counted);
    sidecar.run(0.7 * 6);
    CHECK(sidecar.host.votes.size() == 2);
    sidecar.run(0.2 * 6 + 0.1);
    CHECK(sidecar.host.votes.size() == 3);
    sidecar.run(0.8 + 0.4);  // the vote got no answer, so it is sent again
    CHECK(sidecar.host.votes.size() == 4);
}

TEST_CASE("no vote is cast for a build or stage that the release status no longer names") {
    Sidecar sidecar;
    open_trial(sidecar);
    sidecar.run(2.2);
    REQUIRE(sidecar.host.votes.size() == 1);
    sidecar.policy.vote_answered(sidecar.now, VoteReply::counted);
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::withdrawn, 0, 0);
    sidecar.run(10);
    CHECK(sidecar.host.votes.size() == 1);
}

TEST_CASE(
    "where stages move by the clock a suspicion holds the vote, for at most two seconds a stage") {
    Settings settings = basic_settings();
    settings["release.moved_by"] = std::string("clock");
    Sidecar sidecar(settings);
    open_trial(sidecar, 0.9);
    for (int i = 0; i < 14; ++i) {  // 4 failures of 14 against none of 14
        sidecar.serve([&](const EndpointId& id) {
            return id.value > "b" && i % 3 == 0 ? Outcome::failed : Outcome::succeeded;
        });
        sidecar.run(0.06);
    }
    sidecar.run(1.5);
    for (const CastVote& cast : sidecar.host.votes) {
        CHECK(cast.vote != Vote::on);
    }
}

TEST_CASE(
    "restricted participation lowers the cap at once and casts no on vote, but a back vote is "
    "still cast") {
    const TrialParticipation trial_participation = GENERATE(
        TrialParticipation::open, TrialParticipation::first_stage, TrialParticipation::no_trial);
    Settings settings = basic_settings();
    settings["release.allowance"] = 0.0;
    Sidecar sidecar(settings);
    open_trial(sidecar, 0.5);
    sidecar.policy.trial_participation_set(sidecar.now, trial_participation);
    sidecar.serve_steadily(200, 0.05);
    const auto trial = sidecar.sent_to("n") + sidecar.sent_to("m");
    if (trial_participation == TrialParticipation::open) {
        CHECK(trial > 60);
    }
    if (trial_participation == TrialParticipation::first_stage) {
        CHECK((trial > 5 && trial <= 30));  // the cap of the first stage is 0.1
    }
    if (trial_participation == TrialParticipation::no_trial) {
        CHECK(trial == 0);
    }
    const bool voted_on = std::any_of(sidecar.host.votes.begin(), sidecar.host.votes.end(),
                                      [](const CastVote& cast) { return cast.vote == Vote::on; });
    CHECK(voted_on == (trial_participation == TrialParticipation::open));
    Sidecar marked;
    open_trial(marked, 0.5);
    count_answers(marked, 4, 3, 30);
    marked.policy.trial_participation_set(marked.now, trial_participation);
    marked.run(8);
    CHECK(marked.host.votes.back().vote == Vote::back);
}

TEST_CASE("a counted on vote is withdrawn once participation is restricted") {
    Sidecar sidecar;
    open_trial(sidecar, 0.5);
    sidecar.run(4);
    REQUIRE(sidecar.host.votes.back().vote == Vote::on);
    sidecar.policy.vote_answered(sidecar.now, VoteReply::counted);
    sidecar.policy.trial_participation_set(sidecar.now, TrialParticipation::first_stage);
    sidecar.run(1);
    CHECK(sidecar.host.votes.back().vote == Vote::none);
}
