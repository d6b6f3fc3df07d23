#include "policy/release_judge.hpp"

#include <algorithm>
#include <cmath>

namespace tideline {
namespace {

constexpr double kPriorBad = 0.4;        // prior probability that a charge is true
constexpr double kBadMeanScore = 2;      // mean z-score of a true charge; its variance is 1
constexpr double kMarkThreshold = 0.05;  // largest mean lfdr of the charges marked together
constexpr double kHoldThreshold = 0.2;   // a charge with an lfdr below this is suspicious
constexpr double kMinFailures = 3;       // with fewer failures the score is 0
constexpr Seconds kJudgingInterval = 1;
// Lower bounds of the standard error of a difference of shares, by charge.
constexpr double kFailureErrorFloor = 0.02;
constexpr double kSlownessErrorFloor = 0.14;  // response times differ by machine too
constexpr double kFleetErrorFloor = 0.16;     // and by time of day
constexpr double kTallyErrorFloor = 0.1;      // tallies count withdrawn and lost attempts as failed
constexpr double kMinSlowAnswers = 12;
// The smallest evidence fraction for charges on which chance alone produces some evidence: flagged
// answers and slowness of the fleet.
constexpr double kMinCrudeFraction = 0.5;
// Flagged answers assumed for the earlier build: that none was seen does not prove that none was
// wrong.
constexpr double kAssumedEarlierFlags = 0.5;
constexpr double kMaxLogRatio = 500;  // keeps the exponential finite
// Answers of the judged build from which on a finished stage counts as evidence.
constexpr double kMinStageAnswers = 10;
// For this long after pressure, response times are no evidence: queues have to empty first.
constexpr Seconds kPressureDuration = 2;
constexpr Seconds kJudgingWindow = 5;  // a released build is judged in windows of this length
constexpr Seconds kSendRateWindow = 3;
// If more than this multiple of the requests before the trial is sent, the load may be what slows
// the fleet.
constexpr double kComparableLoadFactor = 1.25;

// The z-score of the difference between two shares, with the pooled standard error.
double z_score(const Count& judged, const Count& earlier, double error_floor) {
    if (judged.seen <= 0 || earlier.seen <= 0) {
        return 0;
    }
    const double pooled = std::min(1.0, (judged + earlier).share());
    const double error = std::sqrt(pooled * (1 - pooled) * (1 / judged.seen + 1 / earlier.seen));
    return (judged.share() - earlier.share()) / std::max(error_floor, error);
}

double z_score_if_enough_bad(double min_bad, const Count& judged, const Count& earlier,
                             double error_floor) {
    return judged.bad < min_bad ? 0 : z_score(judged, earlier, error_floor);
}

// The log fields that name a charge.
std::string charge_fields(Charge charge) {
    if (charge == kChargeSlowness) {
        return "charge=slow";
    }
    if (charge == kChargeFlagged) {
        return "charge=answers_flagged";
    }
    if (charge == kChargeFleetSlowness) {
        return "charge=slows_all_endpoints";
    }
    if (charge == kChargeAnyFailure) {
        return "charge=requests_fail";
    }
    return "charge=request_class_fails request_class=" + std::to_string(charge.value);
}

std::string count_fields(const std::string& prefix, const Count& count) {
    return " " + prefix + "bad=" + std::to_string(static_cast<int>(count.bad)) + " " + prefix +
           "seen=" + std::to_string(static_cast<int>(count.seen));
}

}  // namespace

std::string ChargeMark::text() const {
    return "build marked: build=" + std::to_string(build.value) +
           " stage=" + std::to_string(stage.value) + " " + charge_fields(charge) +
           count_fields("", judged) + count_fields("earlier_", earlier);
}

void ReleaseJudge::release_updated(Seconds now) {
    const ReleaseStatus& status = *release_.status();
    if (status.build > evidence_.judged_build()) {
        start_build(now);
    } else if (status.build == evidence_.judged_build() && status.stage > stage_) {
        finish_stage();
    }
    released_ = status.build == evidence_.judged_build() && status.phase == Phase::released;
}

void ReleaseJudge::start_build(Seconds now) {
    evidence_.start_build(release_.status()->build, released_, sent_.since(now - kSendRateWindow));
    finished_stages_.clear();
    marks_.clear();
    lfdr_.clear();
    stage_ = release_.status()->stage;
}

// Only stages that had a score enter the sum of log likelihood ratios. A score of 0 for lack of
// failures would count for the build as much as a z-score of 2 counts against it, and would hide a
// fault that appears later. Slowness of the whole fleet grows with the requests that the build
// gets, so each stage is judged by itself.
void ReleaseJudge::finish_stage() {
    for (const auto& [charge, ratio] : log_likelihood_ratios()) {
        if (charge == kChargeFlagged ||
            evidence_.judged_build_count(charge).seen < kMinStageAnswers) {
            continue;
        }
        if (score(charge) != 0 && charge != kChargeFleetSlowness) {
            finished_stages_[charge] += ratio;
        }
        evidence_.finish_stage(charge);
    }
    lfdr_.clear();
    stage_ = release_.status()->stage;
}

void ReleaseJudge::attempt_sent(Seconds now) {
    sent_.add(now, kSendRateWindow);
}

// Only answers are evidence on the build; other outcomes say something about a machine.
void ReleaseJudge::attempt_ended(Seconds now, const Request& request, const Attempt& attempt,
                                 Outcome outcome, Seconds took) {
    if (!release_.status() || attempt.endpoint.build > evidence_.judged_build()) {
        return;
    }
    if (outcome == Outcome::succeeded) {
        add_fleet_answer_if_comparable(now, request, attempt, took);
    }
    if (outcome != Outcome::succeeded && outcome != Outcome::failed) {
        return;
    }
    const bool under_pressure = now < last_pressure_ + kPressureDuration;
    evidence_.add_answer(request, attempt, outcome == Outcome::failed, took, under_pressure,
                         release_.status()->phase != Phase::trial);
}

// A build that slows all endpoints, old and new, shows no difference between them. So the answers
// in a stage are compared with those before the trial: if the middle half of the endpoints became
// slow while no more requests are sent than before, the trial is the cause. Requests sent are
// compared and not requests received, because rejected clients retry.
void ReleaseJudge::add_fleet_answer_if_comparable(Seconds now, const Request& request,
                                                  const Attempt& attempt, Seconds took) {
    const ReleaseStatus& status = *release_.status();
    if (!attempt.warm || attempt.sent < status.stage_started_at || !status.is_judged()) {
        return;
    }
    if (status.phase == Phase::released && now > status.stage_started_at + 2 * kJudgingWindow) {
        return;
    }
    const double sent_before_trial_count = evidence_.sent_before_trial();
    if (sent_.since(now - kSendRateWindow) >
        kComparableLoadFactor * sent_before_trial_count + std::sqrt(sent_before_trial_count)) {
        return;
    }
    evidence_.add_fleet_answer(request.request_class, attempt.endpoint.id, took);
}

// The score of a charge; 0 if there is too little evidence. With little traffic no single sidecar
// sees enough failures in time. Where several back votes have to agree, the evidence behind them
// adds up, so each vote needs only a part of it, down to one failure.
double ReleaseJudge::score(Charge charge) const {
    const Count judged = evidence_.judged_build_count(charge);
    const Count earlier = evidence_.earlier_builds_count(charge);
    const double fraction = settings_.release.evidence_fraction;
    const double crude_fraction = std::max(kMinCrudeFraction, fraction);
    if (charge == kChargeSlowness) {
        return z_score_if_enough_bad(fraction * kMinSlowAnswers, judged, earlier,
                                     kSlownessErrorFloor);
    }
    if (charge == kChargeFleetSlowness) {
        return z_score_if_enough_bad(crude_fraction * kMinSlowAnswers, judged, earlier,
                                     kFleetErrorFloor);
    }
    if (charge == kChargeFlagged) {
        return z_score_if_enough_bad(crude_fraction * kMinFailures, judged,
                                     earlier + Count{0, kAssumedEarlierFlags},
                                     kFailureErrorFloor * settings_.release.flagged_share);
    }
    const double min_bad = fraction * kMinFailures;
    return std::max(z_score_if_enough_bad(min_bad, judged, earlier, kFailureErrorFloor),
                    z_score_if_enough_bad(min_bad, evidence_.tallied_above_common_failures(charge),
                                          evidence_.tallied_earlier(charge), kTallyErrorFloor));
}

// The log likelihood ratio log(f1/f0) of each charge's score in the present stage. The null density
// f0 is standard normal; f1 is normal with mean kBadMeanScore and variance 1.
std::map<Charge, double> ReleaseJudge::log_likelihood_ratios() const {
    std::map<Charge, double> ratios;
    for (Charge charge = kFirstCharge; charge.value < static_cast<int>(request_class_count());
         ++charge.value) {
        ratios[charge] = kBadMeanScore * score(charge) - kBadMeanScore * kBadMeanScore / 2;
    }
    return ratios;
}

std::vector<ChargeMark> ReleaseJudge::tick(Seconds now) {
    if (now < next_judging_) {
        return {};
    }
    next_judging_ = now + kJudgingInterval;
    if (!release_.is_judged()) {
        return {};
    }
    // A released build is judged in windows, so that its good answers of the past can't hide a
    // fault that appears later.
    if (release_.status()->phase == Phase::released && now >= judging_window_ends_) {
        evidence_.drop_judging_window();
        judging_window_ends_ = now + kJudgingWindow;
    }
    return mark_charges();
}

// Compound thresholding: marks the largest group of the most likely charges whose mean lfdr is at
// most kMarkThreshold.
std::vector<ChargeMark> ReleaseJudge::mark_charges() {
    const std::vector<ChargeLfdr> unmarked_charges = update_lfdrs();
    double sum = 0;
    std::size_t marked_count = 0;
    for (std::size_t i = 0; i < unmarked_charges.size(); ++i) {
        sum += unmarked_charges[i].lfdr;
        if (sum / static_cast<double>(i + 1) <= kMarkThreshold) {
            marked_count = i + 1;
        }
    }
    std::vector<ChargeMark> marks;
    for (std::size_t i = 0; i < marked_count; ++i) {
        const Charge charge = unmarked_charges[i].charge;
        marks_.insert(charge);
        marks.push_back({evidence_.judged_build(), stage_, charge,
                         evidence_.judged_build_count(charge),
                         evidence_.earlier_builds_count(charge)});
    }
    return marks;
}

// Updates the lfdr of each charge and returns the charges not marked yet, the most likely first.
// Where one vote out of many sidecars withdraws a build, the chances of a false mark add up over
// the sidecars. So slowness, the least precise charge, starts from prior odds divided by the number
// of sidecars per back vote.
std::vector<ReleaseJudge::ChargeLfdr> ReleaseJudge::update_lfdrs() {
    std::vector<ChargeLfdr> unmarked;
    for (const auto& [charge, ratio] : log_likelihood_ratios()) {
        const double sidecars_per_back_vote =
            charge == kChargeSlowness
                ? std::max(1.0, settings_.sidecars / settings_.release.back_votes)
                : 1;
        const double all_stages = std::min(kMaxLogRatio, finished_stages_[charge] + ratio);
        const double odds =
            kPriorBad / (1 - kPriorBad) / sidecars_per_back_vote * std::exp(all_stages);
        lfdr_[charge] = 1 / (1 + odds);
        if (!marks_.contains(charge)) {
            unmarked.push_back({lfdr_[charge], charge});
        }
    }
    std::sort(unmarked.begin(), unmarked.end());
    return unmarked;
}

bool ReleaseJudge::is_suspicious() const {
    return std::any_of(lfdr_.begin(), lfdr_.end(),
                       [](const auto& entry) { return entry.second < kHoldThreshold; });
}

}  // namespace tideline
