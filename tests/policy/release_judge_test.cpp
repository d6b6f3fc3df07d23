// Tests of the judge of a build on trial, and of the votes that follow from its marks.
#include "policy/release_judge.hpp"

#include <catch2/catch.hpp>

#include "policy/ballots.hpp"
#include "policy/endpoint_set.hpp"
#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

// Build 2 on trial beside build 1, with three endpoints each.
struct Trial {
    Trial() {
        std::vector<EndpointInfo> list;
        for (int i = 0; i < 3; ++i) {
            list.push_back(endpoint("old" + std::to_string(i), 1));
            list.push_back(endpoint("new" + std::to_string(i), 2));
        }
        endpoints.update(0, EndpointListKind::complete, list);
        announce(0, 0);
    }
    void announce(int stage, Seconds now, Phase phase = Phase::trial) {
        release.update({Build{2}, Stage{stage}, phase, 0.5, now}, now, settings.drain_grace);
        judge.release_updated(now);
    }
    void answer(int build, int number, Outcome outcome, Seconds now) {
        Attempt attempt;
        attempt.endpoint =
            endpoint((build == 1 ? "old" : "new") + std::to_string(number % 3), build);
        attempt.sent = now;
        judge.attempt_ended(now, Request{}, attempt, outcome, 0.1);
    }
    void answer_many(int build, int count, int failures, Seconds now) {
        for (int i = 0; i < count; ++i) {
            answer(build, i, i < failures ? Outcome::failed : Outcome::succeeded, now);
        }
    }

    PolicySettings settings{basic_settings()};
    RandomSource random{5};
    EndpointSet endpoints;
    ReleaseState release;
    ReleaseJudge judge{settings, endpoints, release};
    Ballots ballots{settings.release, release, judge, random};
};

TEST_CASE("a build whose answers fail is marked once for each charge, with the counts") {
    Trial trial;
    trial.answer_many(1, 60, 0, 1);
    trial.answer_many(2, 30, 15, 1);
    const auto marks = trial.judge.tick(1);
    REQUIRE_FALSE(marks.empty());
    CHECK(trial.judge.has_marks());
    CHECK(marks[0].build == Build{2});
    for (const ChargeMark& mark : marks) {
        CHECK((mark.charge == kChargeAnyFailure || mark.charge == charge_of(RequestClass{0})));
        CHECK(mark.judged.bad == 15);
        CHECK(mark.judged.seen == 30);
        CHECK(mark.earlier.seen == 60);
    }
    CHECK(trial.judge.tick(3).empty());
}

TEST_CASE("a build whose answers are as good as the earlier build's is not marked") {
    Trial trial;
    trial.answer_many(1, 60, 6, 1);
    trial.answer_many(2, 30, 3, 1);
    CHECK(trial.judge.tick(1).empty());
    CHECK_FALSE(trial.judge.has_marks());
}

TEST_CASE("the judge works once a second") {
    Trial trial;
    CHECK(trial.judge.tick(1).empty());
    trial.answer_many(1, 60, 0, 1);
    trial.answer_many(2, 30, 15, 1);
    CHECK(trial.judge.tick(1.9).empty());
    CHECK_FALSE(trial.judge.tick(2).empty());
}

TEST_CASE("only answers are evidence, and only of endpoints past their start") {
    Trial trial;
    trial.answer_many(1, 60, 0, 1);
    for (int i = 0; i < 30; ++i) {
        trial.answer(2, i, Outcome::unreachable, 1);
        trial.answer(2, i, Outcome::timed_out, 1);
    }
    CHECK(trial.judge.tick(1).empty());
}

TEST_CASE("a next build starts without the marks of the last one") {
    Trial trial;
    trial.answer_many(1, 60, 0, 1);
    trial.answer_many(2, 30, 15, 1);
    trial.judge.tick(1);
    REQUIRE(trial.judge.has_marks());
    trial.release.update({Build{3}, Stage{0}, Phase::trial, 0.5, 2}, 2, 0.25);
    trial.judge.release_updated(2);
    CHECK_FALSE(trial.judge.has_marks());
}

TEST_CASE("a stage without suspicion gets an on vote after its least time, once until renewal") {
    Trial trial;
    CHECK_FALSE(trial.ballots.next_ballot(1.9));
    const auto ballot = trial.ballots.next_ballot(2);
    REQUIRE(ballot);
    CHECK(ballot->vote == Vote::on);
    CHECK(ballot->stage == Stage{0});
    CHECK_FALSE(trial.ballots.next_ballot(2.1));  // a vote is in flight
    trial.ballots.vote_answered(2.2, VoteReply::counted);
    CHECK_FALSE(trial.ballots.next_ballot(2.2 + 0.71 * 6));
    CHECK(trial.ballots.next_ballot(2.2 + 0.91 * 6));
}

TEST_CASE("a vote that failed, or got no answer, is sent again soon") {
    const bool answered = GENERATE(false, true);
    Trial trial;
    REQUIRE(trial.ballots.next_ballot(2));
    if (answered) {
        trial.ballots.vote_answered(2, VoteReply::failed);
        CHECK_FALSE(trial.ballots.next_ballot(2.14));
        CHECK(trial.ballots.next_ballot(2.46));
    } else {
        CHECK_FALSE(trial.ballots.next_ballot(3.09));  // a timeout of 0.8 s and a delay of 0.3 s
        CHECK(trial.ballots.next_ballot(3.11));
    }
}

TEST_CASE("a marked build gets a back vote at once, also where the participation is restricted") {
    Trial trial;
    trial.answer_many(1, 60, 0, 1);
    trial.answer_many(2, 30, 15, 1);
    trial.judge.tick(1);
    trial.release.restrict_to(TrialParticipation::no_trial, 1, 0.25);
    const auto ballot = trial.ballots.next_ballot(1);
    REQUIRE(ballot);
    CHECK(ballot->vote == Vote::back);
    CHECK(ballot->is_first_back_vote);
}

TEST_CASE("a restricted participation sends no vote for the next stage") {
    Trial trial;
    trial.release.restrict_to(TrialParticipation::first_stage, 0, 0.25);
    CHECK_FALSE(trial.ballots.next_ballot(5));
}

}  // namespace
}  // namespace tideline::test
