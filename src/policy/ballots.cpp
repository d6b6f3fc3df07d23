#include "policy/ballots.hpp"

namespace tideline {
namespace {

constexpr Seconds kMaxHoldDuration = 2;  // per stage
// A vote is renewed after a fraction of its lifetime that is drawn between these bounds, which
// leaves time for a retry.
constexpr double kMinRenewFraction = 0.72;
constexpr double kMaxRenewFraction = 0.9;
constexpr Seconds kRetryDelay = 0.3;  // before a vote that failed is sent again
// Bounds of the random factor of the retry delay.
constexpr double kMinRetryJitterFactor = 0.5;
constexpr double kMaxRetryJitterFactor = 1.5;

}  // namespace

std::optional<Ballot> Ballots::next_ballot(Seconds now) {
    if (!release_.is_judged()) {
        return std::nullopt;
    }
    if (in_flight_ && now - sent_at_ > settings_.vote_timeout + kRetryDelay) {
        in_flight_ = false;
        due_at_ = now;
    }
    if (in_flight_) {
        return std::nullopt;
    }
    const Vote vote = wanted_vote(now);
    if (!is_due(now, vote)) {
        return std::nullopt;
    }
    const ReleaseStatus& status = *release_.status();
    const bool is_first_back_vote =
        vote == Vote::back && (vote != sent_.vote || sent_.build != status.build);
    sent_ = {status.build, status.stage, vote, is_first_back_vote};
    in_flight_ = true;
    sent_at_ = now;
    return sent_;
}

// A marked build gets a back vote in any case. Once the build is released, or while the
// participation is restricted, no vote moves it to the next stage.
Vote Ballots::wanted_vote(Seconds now) const {
    if (judge_.has_marks()) {
        return Vote::back;
    }
    const ReleaseStatus& status = *release_.status();
    if (status.phase == Phase::released || release_.participation() != TrialParticipation::open) {
        return Vote::none;
    }
    const Seconds age = now - status.stage_started_at;
    if (settings_.advanced_by == StageAdvance::clock) {
        return judge_.is_suspicious() && age < kMaxHoldDuration ? Vote::hold : Vote::none;
    }
    if (age < settings_.min_stage_time) {
        return Vote::none;
    }
    if (judge_.is_suspicious() && age < settings_.min_stage_time + kMaxHoldDuration) {
        return Vote::none;
    }
    return Vote::on;
}

// A vote is sent when it differs from the one that was counted, and again when that one is due for
// renewal.
bool Ballots::is_due(Seconds now, Vote vote) const {
    const ReleaseStatus& status = *release_.status();
    const bool same_build = sent_.build == status.build;
    const bool same_stage = sent_.stage == status.stage;
    if (vote == Vote::none && (counted_ == Vote::none || !same_build || !same_stage)) {
        return false;
    }
    const bool already_counted =
        vote == counted_ && same_build && (vote == Vote::back || same_stage);
    const bool is_repeat = already_counted || sent_.vote == vote;
    return now >= due_at_ || !is_repeat;
}

// A vote that was not counted has no effect, so it is sent again soon.
void Ballots::vote_answered(Seconds now, VoteReply reply) {
    if (!in_flight_) {
        return;
    }
    in_flight_ = false;
    if (reply == VoteReply::counted) {
        counted_ = sent_.vote;
        due_at_ =
            now + settings_.vote_lifetime * random_.uniform(kMinRenewFraction, kMaxRenewFraction);
    } else {
        counted_ = Vote::none;
        due_at_ = now + kRetryDelay * random_.uniform(kMinRetryJitterFactor, kMaxRetryJitterFactor);
    }
}

}  // namespace tideline
