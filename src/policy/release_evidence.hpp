// Counts the answers for and against the build on trial. The release judge turns the counts into
// scores; this class makes no decisions.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "policy/policy_settings.hpp"
#include "policy/records.hpp"
#include "policy/samples.hpp"

namespace tideline {

// A hypothesis against a build, for which the build may be marked. A value from 0 up is the index
// of a request class and means that its requests fail.
using Charge = Id<struct ChargeTag, int>;
constexpr Charge kChargeSlowness{-1};       // the build is slower than the earlier one
constexpr Charge kChargeFlagged{-2};        // clients flagged its answers as wrong
constexpr Charge kChargeFleetSlowness{-3};  // endpoints of the earlier build are slowed too
constexpr Charge kChargeAnyFailure{-4};     // requests of all classes together fail
constexpr Charge kFirstCharge = kChargeAnyFailure;

constexpr Charge charge_of(RequestClass request_class) {
    return Charge{request_class.value};
}

class EndpointSet;

class ReleaseEvidence {
  public:
    ReleaseEvidence(const ReleaseSettings& settings, const EndpointSet& endpoints)
        : settings_(settings), endpoints_(endpoints) {}

    // Begins to judge a new build. `sent_recently`: the number of requests sent just before.
    void start_build(Build build, bool previous_released, double sent_recently);
    // Ends a stage for one charge: adds the answers of the earlier builds to those of the stages
    // before, and clears the answers of the judged build.
    void finish_stage(Charge charge);
    // Clears the answers of the judged build, except for charges whose evidence is kept for the
    // whole trial.
    void drop_judging_window();

    void add_answer(const Request& request, const Attempt& attempt, bool failed, Seconds took,
                    bool under_pressure, bool trial_is_over);
    // Counts an answer of any endpoint, for comparison with answers from before the trial.
    void add_fleet_answer(RequestClass request_class, const EndpointId& endpoint, Seconds took);
    void add_flag(const EndpointId& endpoint, Build build);
    // Adds counts of other sidecars.
    void add_tally(Build build, RequestClass request_class, const Count& count);

    Build judged_build() const {
        return judged_build_;
    }
    double sent_before_trial() const {
        return sent_before_trial_;
    }
    // Answers of the judged build on a charge, without those of endpoints that are themselves at
    // fault.
    Count judged_build_count(Charge charge) const;
    // Answers of earlier builds on a charge, for comparison.
    Count earlier_builds_count(Charge charge) const;
    // Tallied failures of a request class beyond the failure share that all request classes have in
    // common.
    Count tallied_above_common_failures(Charge charge) const;
    Count tallied_earlier(Charge charge) const;

  private:
    using CountsByEndpoint = std::map<EndpointId, Count>;

    void add_count(Charge charge, const EndpointId& endpoint, Build build, const Count& count);
    const CountsByEndpoint& judged_counts(Charge charge) const;
    // Adds up the counts of the middle half of the endpoints, or of the half with the lowest share
    // of bad answers.
    Count trimmed_count(const CountsByEndpoint& counts, bool both_sides) const;
    Count without_worst_endpoint(const CountsByEndpoint& counts,
                                 const std::set<EndpointId>& broken) const;
    std::set<EndpointId> broken_endpoints() const;

    const ReleaseSettings& settings_;
    const EndpointSet& endpoints_;
    Build judged_build_;
    std::map<Charge, CountsByEndpoint> judged_counts_;  // judged build, present stage
    std::map<Charge, Count> earlier_counts_;            // earlier builds, present stage
    std::map<Charge, Count> earlier_stage_counts_;      // earlier builds, earlier stages
    std::map<Charge, Count> tallied_judged_;
    std::map<Charge, Count> tallied_earlier_;
    std::map<RequestClass, SlidingWindow<double>> response_times_;
    std::map<RequestClass, SlidingWindow<double>> times_before_trial_;
    Count slow_before_trial_;
    double sent_before_trial_ = 0;  // requests sent just before the trial began
};

}  // namespace tideline
