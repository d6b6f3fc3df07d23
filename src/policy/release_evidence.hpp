// The answers counted for and against the build on trial. The release judge turns them into
// scores; nothing is decided here.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "policy/policy_settings.hpp"
#include "policy/records.hpp"
#include "policy/samples.hpp"

namespace tideline {

// What a build may be marked for. Values from 0 up are request classes that fail.
using Charge = Id<struct ChargeTag, int>;
constexpr Charge kChargeSlowness{-1};       // slower than the earlier build beside it
constexpr Charge kChargeFlagged{-2};        // answers that clients flagged as wrong
constexpr Charge kChargeFleetSlowness{-3};  // slows the endpoints of the earlier build too
constexpr Charge kChargeAnyFailure{-4};     // failures of all request classes together
constexpr Charge kFirstCharge = kChargeAnyFailure;

constexpr Charge charge_of(RequestClass request_class) {
    return Charge{request_class.value};
}

class EndpointSet;

class ReleaseEvidence {
  public:
    ReleaseEvidence(const ReleaseSettings& settings, const EndpointSet& endpoints)
        : settings_(settings), endpoints_(endpoints) {}

    // Starts a new judged build. `send_rate_events`: requests sent in the recent stretch.
    void start_build(Build build, bool previous_released, double sent_recently);
    // Adds the present stage's answers on a charge to those of earlier stages.
    void finish_stage(Charge charge);
    // Drops the judged build's answers but those whose evidence is kept for the whole trial.
    void drop_judging_window();

    void add_answer(const Request& request, const Attempt& attempt, bool failed, Seconds took,
                    bool under_pressure, bool build_is_released_or_earlier);
    // An answer of any endpoint, compared with answers before the trial.
    void add_fleet_answer(RequestClass request_class, const EndpointId& endpoint, Seconds took);
    void add_flag(const EndpointId& endpoint, Build build);
    // Counts of other sidecars.
    void add_tally(Build build, RequestClass request_class, const Count& count);

    Build judged_build() const {
        return judged_build_;
    }
    double sent_before_trial() const {
        return sent_before_trial_;
    }
    // Answers of the judged build on a charge, without those of endpoints that are to blame
    // themselves.
    Count judged_build_count(Charge charge) const;
    // Answers to compare with.
    Count earlier_builds_count(Charge charge) const;
    // Tallied failures of a request class beyond those that all request classes share.
    Count tallied_above_common_failures(Charge charge) const;
    Count tallied_earlier(Charge charge) const;

  private:
    using CountsByEndpoint = std::map<EndpointId, Count>;

    void add_count(Charge charge, const EndpointId& endpoint, Build build, const Count& count);
    const CountsByEndpoint& judged_counts(Charge charge) const;
    // The median half of the endpoints, or the half with the least share of bad answers.
    Count trimmed_count(const CountsByEndpoint& counts, bool both_sides) const;
    Count without_worst_endpoint(const CountsByEndpoint& counts,
                                 const std::set<EndpointId>& broken) const;
    std::set<EndpointId> broken_endpoints() const;

    const ReleaseSettings& settings_;
    const EndpointSet& endpoints_;
    Build judged_build_;
    std::map<Charge, CountsByEndpoint> judged_counts_;  // judged build, present stage
    std::map<Charge, Count> earlier_counts_;            // earlier builds, present stage
    std::map<Charge, Count> earlier_stage_counts_;      // earlier builds, stages before
    std::map<Charge, Count> tallied_judged_;
    std::map<Charge, Count> tallied_earlier_;
    std::map<RequestClass, SlidingWindow<double>> response_times_;
    std::map<RequestClass, SlidingWindow<double>> times_before_trial_;
    Count slow_before_trial_;
    double sent_before_trial_ = 0;  // requests of the recent stretch as the trial began
};

}  // namespace tideline
