#include "policy/release_evidence.hpp"

#include <algorithm>
#include <vector>

#include "policy/endpoint_set.hpp"

namespace tideline {
namespace {

// An answer is slow if it takes longer than this multiple of the median response time.
constexpr double kSlowMultiple = 2;
// Response times of a request class: how many are kept for the median, and how many are needed
// before the median is used.
constexpr std::size_t kMaxResponseTimes = 64;
constexpr std::size_t kMinResponseTimes = 12;
// Answers of the earlier build in the same stage that are needed to judge slowness.
constexpr double kMinEarlierAnswersForSlowness = 30;
// With this many answers of the earlier build in one stage, earlier stages are left out.
constexpr double kSufficientEarlierAnswers = 100;
// The endpoints of one stage start within this time of each other. Answers of an endpoint that
// started later do not clear another endpoint.
constexpr Seconds kSameStageStartWindow = 1;
// An endpoint that fails more than this share of its requests, in several request classes, is
// itself broken.
constexpr double kBrokenFailureThreshold = 0.5;
// Answers of other endpoints that are needed to blame a single endpoint; also the answers in a
// tally that are needed for the tally to count.
constexpr double kMinOtherAnswers = 10;

double slow_threshold(const SlidingWindow<double>& times) {
    return kSlowMultiple * quantile(times, 0.5);
}

Count count_or_zero(const std::map<Charge, Count>& counts, Charge charge) {
    const auto found = counts.find(charge);
    return found == counts.end() ? Count{} : found->second;
}

}  // namespace

void ReleaseEvidence::start_build(Build build, bool previous_released, double sent_recently) {
    // Flags are rare, so the answers of all builds before are kept for comparison, except those of
    // a build that was withdrawn.
    Count& flagged_before = earlier_stage_counts_[kChargeFlagged];
    flagged_before = flagged_before + earlier_counts_[kChargeFlagged];
    if (previous_released) {
        for (const auto& [endpoint, count] : judged_counts(kChargeFlagged)) {
            flagged_before = flagged_before + count;
        }
    }
    judged_counts_.clear();
    earlier_counts_.clear();
    tallied_judged_.clear();
    tallied_earlier_.clear();
    times_before_trial_ = response_times_;
    sent_before_trial_ = sent_recently;
    slow_before_trial_ = Count{};
    for (const auto& [request_class, times] : times_before_trial_) {
        for (const double took : times) {
            const double slow = took > slow_threshold(times) ? 1.0 : 0.0;
            slow_before_trial_ = slow_before_trial_ + Count{1, slow};
        }
    }
    judged_build_ = build;
}

void ReleaseEvidence::finish_stage(Charge charge) {
    earlier_stage_counts_[charge] = earlier_stage_counts_[charge] + earlier_counts_[charge];
    judged_counts_[charge].clear();
    earlier_counts_[charge] = Count{};
    tallied_judged_[charge] = Count{};
}

void ReleaseEvidence::drop_judging_window() {
    for (auto& [charge, counts] : judged_counts_) {
        if (charge != kChargeFlagged && charge != kChargeFleetSlowness) {
            counts.clear();
        }
    }
}

void ReleaseEvidence::add_answer(const Request& request, const Attempt& attempt, bool failed,
                                 Seconds took, bool under_pressure, bool trial_is_over) {
    const EndpointInfo& endpoint = attempt.endpoint;
    // Clients flag answers of cold endpoints too.
    add_count(kChargeFlagged, endpoint.id, endpoint.build, {1, 0});
    if (attempt.cold) {
        return;
    }
    const Count answer{1, failed ? 1.0 : 0.0};
    add_count(charge_of(request.request_class), endpoint.id, endpoint.build, answer);
    add_count(kChargeAnyFailure, endpoint.id, endpoint.build, answer);
    // Under pressure, endpoints with more requests in flight are slower whatever build they run,
    // and endpoints of the build on trial have more in flight.
    if (failed || !attempt.warm || under_pressure) {
        return;
    }
    auto& times =
        response_times_.try_emplace(request.request_class, kMaxResponseTimes).first->second;
    if (static_cast<double>(times.size()) >=
        settings_.evidence_fraction * static_cast<double>(kMinResponseTimes)) {
        const double slow = took > slow_threshold(times) ? 1.0 : 0.0;
        add_count(kChargeSlowness, endpoint.id, endpoint.build, {1, slow});
    }
    if (endpoint.build < judged_build_ || trial_is_over) {
        times.add(took);
    }
}

void ReleaseEvidence::add_fleet_answer(RequestClass request_class, const EndpointId& endpoint,
                                       Seconds took) {
    const auto times = times_before_trial_.find(request_class);
    if (times == times_before_trial_.end() ||
        static_cast<double>(times->second.size()) <
            settings_.evidence_fraction * static_cast<double>(kMinResponseTimes)) {
        return;
    }
    Count& count = judged_counts_[kChargeFleetSlowness][endpoint];
    count = count + Count{1, took > slow_threshold(times->second) ? 1.0 : 0.0};
}

void ReleaseEvidence::add_flag(const EndpointId& endpoint, Build build) {
    add_count(kChargeFlagged, endpoint, build, {0, 1});
}

void ReleaseEvidence::add_tally(Build build, RequestClass request_class, const Count& count) {
    if (build > judged_build_) {
        return;
    }
    auto& counts = build == judged_build_ ? tallied_judged_ : tallied_earlier_;
    Count& total = counts[charge_of(request_class)];
    total = total + count;
}

void ReleaseEvidence::add_count(Charge charge, const EndpointId& endpoint, Build build,
                                const Count& count) {
    if (build > judged_build_) {
        return;
    }
    Count& total =
        build == judged_build_ ? judged_counts_[charge][endpoint] : earlier_counts_[charge];
    total = total + count;
}

const ReleaseEvidence::CountsByEndpoint& ReleaseEvidence::judged_counts(Charge charge) const {
    static const CountsByEndpoint none;
    const auto found = judged_counts_.find(charge);
    return found == judged_counts_.end() ? none : found->second;
}

// Adds up the counts of the half of the endpoints with the lowest share of bad answers, which a
// fault of some machines does not affect. Where several back votes have to agree, fewer endpoints
// are left out, since with one answer per endpoint the better half would be a matter of chance. If
// `both_sides` is set, the middle half is used instead: in a comparison with all endpoints as they
// were before the trial, the best half would hide a slowdown of the whole fleet.
Count ReleaseEvidence::trimmed_count(const CountsByEndpoint& counts, bool both_sides) const {
    std::vector<Count> sorted;
    for (const auto& [endpoint, count] : counts) {
        sorted.push_back(count);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](auto& left, auto& right) { return left.share() < right.share(); });
    const auto trimmed_endpoints = static_cast<std::size_t>(settings_.evidence_fraction / 2 *
                                                            static_cast<double>(sorted.size()));
    const std::size_t from = both_sides ? trimmed_endpoints / 2 : 0;
    Count trimmed;
    for (std::size_t i = from; i < sorted.size() - trimmed_endpoints + from; ++i) {
        trimmed = trimmed + sorted[i];
    }
    return trimmed;
}

// The endpoints that fail whatever requests they get. Early in a trial, with few other answers,
// they would mark a good build, so they are left out unless most endpoints of the build are like
// that.
std::set<EndpointId> ReleaseEvidence::broken_endpoints() const {
    struct EndpointFailures {
        Count answers;
        int failing_classes = 0;
    };
    std::map<EndpointId, EndpointFailures> failures;
    for (const auto& [charge, counts] : judged_counts_) {
        for (const auto& [endpoint, count] : counts) {
            EndpointFailures& own = failures[endpoint];
            if (charge.value >= 0) {
                own.answers = own.answers + count;
                own.failing_classes += count.bad > 0 ? 1 : 0;
            }
        }
    }
    std::set<EndpointId> broken;
    for (const auto& [endpoint, own] : failures) {
        if (own.failing_classes > 1 && own.answers.share() > kBrokenFailureThreshold) {
            broken.insert(endpoint);
        }
    }
    const bool most_are_broken = broken.size() > 1 && 2 * broken.size() > failures.size();
    return most_are_broken ? std::set<EndpointId>{} : broken;
}

// Adds up the counts, without the worst endpoint if the others have enough answers and no failure.
// A single broken or slow machine must not mark a good build for the rest of the trial, and a fault
// of the build shows on all its endpoints.
Count ReleaseEvidence::without_worst_endpoint(const CountsByEndpoint& counts,
                                              const std::set<EndpointId>& broken) const {
    Count all;
    const std::pair<const EndpointId, Count>* worst = nullptr;
    for (const auto& entry : counts) {
        if (broken.contains(entry.first)) {
            continue;
        }
        all = all + entry.second;
        if (!worst || entry.second.share() > worst->second.share()) {
            worst = &entry;
        }
    }
    if (!worst) {
        return all;
    }
    Count others;
    const Seconds worst_started = endpoints_.started_at(worst->first);
    for (const auto& [endpoint, count] : counts) {
        if (!broken.contains(endpoint) && endpoint != worst->first &&
            endpoints_.started_at(endpoint) <= worst_started + kSameStageStartWindow) {
            others = others + count;
        }
    }
    if (others.seen < kMinOtherAnswers || others.bad > 0) {
        return all;
    }
    return {all.seen - worst->second.seen, all.bad - worst->second.bad};
}

// For slowness some endpoints are always left out, so with a single endpoint the slowness of the
// build is not judged.
Count ReleaseEvidence::judged_build_count(Charge charge) const {
    const CountsByEndpoint& counts = judged_counts(charge);
    if (charge == kChargeSlowness) {
        return counts.size() < 2 ? Count{} : trimmed_count(counts, false);
    }
    if (charge == kChargeFleetSlowness) {
        return trimmed_count(counts, true);
    }
    const bool by_failures = charge.value >= 0 || charge == kChargeAnyFailure;
    return without_worst_endpoint(counts,
                                  by_failures ? broken_endpoints() : std::set<EndpointId>{});
}

// If the earlier build has too few answers in this stage, those of earlier stages count too.
// Slowness is compared within one stage only, since more traffic makes any build slower.
Count ReleaseEvidence::earlier_builds_count(Charge charge) const {
    const Count in_present_stage = count_or_zero(earlier_counts_, charge);
    if (charge == kChargeFleetSlowness) {
        return slow_before_trial_;
    }
    if (charge == kChargeSlowness) {
        const double needed = settings_.evidence_fraction * kMinEarlierAnswersForSlowness;
        return in_present_stage.seen >= needed ? in_present_stage : Count{};
    }
    if (charge != kChargeFlagged && in_present_stage.seen >= kSufficientEarlierAnswers) {
        return in_present_stage;
    }
    return in_present_stage + count_or_zero(earlier_stage_counts_, charge);
}

// A cut link or a dead machine affects all request classes alike and is no evidence on the build.
Count ReleaseEvidence::tallied_above_common_failures(Charge charge) const {
    double common = 1;
    for (const auto& [each, count] : tallied_judged_) {
        if (count.seen >= kMinOtherAnswers) {
            common = std::min(common, count.share());
        }
    }
    const Count tallied = count_or_zero(tallied_judged_, charge);
    return {tallied.seen, std::max(0.0, tallied.bad - common * tallied.seen)};
}

Count ReleaseEvidence::tallied_earlier(Charge charge) const {
    return count_or_zero(tallied_earlier_, charge);
}

}  // namespace tideline
