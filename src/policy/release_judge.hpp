// Judges the build on trial: turns the evidence on each charge into a z-score, the score into a
// local false discovery rate (lfdr), and marks the charges that compound thresholding selects.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/policy_settings.hpp"
#include "policy/release_evidence.hpp"
#include "policy/release_state.hpp"
#include "policy/samples.hpp"

namespace tideline {

// A charge that the judge considers proved.
struct ChargeMark {
    Build build;
    Stage stage;
    Charge charge;
    Count judged;   // answers of the marked build
    Count earlier;  // answers of earlier builds, for comparison
    std::string text() const;
};

class ReleaseJudge {
  public:
    ReleaseJudge(const PolicySettings& settings, const EndpointSet& endpoints,
                 const ReleaseState& release)
        : settings_(settings), release_(release), evidence_(settings.release, endpoints) {}

    void release_updated(Seconds now);
    void attempt_sent(Seconds now);
    // A request had to wait for an endpoint at this sidecar.
    void pressure_seen(Seconds now) {
        last_pressure_ = now;
    }
    void attempt_ended(Seconds now, const Request& request, const Attempt& attempt, Outcome outcome,
                       Seconds took);
    void answer_flagged(const EndpointId& endpoint, Build build) {
        evidence_.add_flag(endpoint, build);
    }
    void tally_received(Build build, RequestClass request_class, const Count& count) {
        evidence_.add_tally(build, request_class, count);
    }
    // To be called at each tick. Judges the build once per judging interval and returns the new
    // marks.
    std::vector<ChargeMark> tick(Seconds now);

    bool has_marks() const {
        return !marks_.empty();
    }
    // Whether a charge is likely enough to hold back the vote for the next stage.
    bool is_suspicious() const;

  private:
    struct ChargeLfdr {
        double lfdr = 0;  // probability that the evidence is due to chance
        Charge charge;
        auto operator<=>(const ChargeLfdr&) const = default;
    };

    void start_build(Seconds now);
    void finish_stage();
    void add_fleet_answer_if_comparable(Seconds now, const Request& request, const Attempt& attempt,
                                        Seconds took);
    std::vector<ChargeMark> mark_charges();
    std::vector<ChargeLfdr> update_lfdrs();
    double score(Charge charge) const;
    std::map<Charge, double> log_likelihood_ratios() const;
    std::size_t request_class_count() const {
        return settings_.request_classes.size();
    }

    const PolicySettings& settings_;
    const ReleaseState& release_;
    ReleaseEvidence evidence_;
    EventWindow sent_;
    Stage stage_;
    bool released_ = false;
    std::map<Charge, double> finished_stages_;  // sums of log likelihood ratios
    std::map<Charge, double> lfdr_;
    std::set<Charge> marks_;
    Seconds last_pressure_ = kNever;
    Seconds next_judging_ = 0;
    Seconds judging_window_ends_ = 0;
};

}  // namespace tideline
