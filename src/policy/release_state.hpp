// What this sidecar knows about the build on trial, shared by the exposure cap, the release judge
// and the ballots.
#pragma once

#include <algorithm>
#include <optional>

#include "policy/records.hpp"

namespace tideline {

class ReleaseState {
  public:
    // Stores a new status. Returns whether it is about another build than the previous one.
    bool update(const ReleaseStatus& status, Seconds now, Seconds drain_grace) {
        const bool new_build = !status_ || status.build != status_->build;
        if (!new_build && status.cap < status_->cap) {
            exposure_counted_from_ = now + drain_grace;
        }
        status_ = status;
        return new_build;
    }
    void restrict_to(TrialParticipation participation, Seconds now, Seconds drain_grace) {
        if (participation > participation_) {
            exposure_counted_from_ = now + drain_grace;
        }
        participation_ = participation;
    }

    const std::optional<ReleaseStatus>& status() const {
        return status_;
    }
    bool is_judged() const {
        return status_ && status_->is_judged();
    }
    bool is_announced(Build build) const {
        return status_ && build == status_->build;
    }
    TrialParticipation participation() const {
        return participation_;
    }
    // After the cap was lowered, only requests from this time on count towards it.
    Seconds exposure_counted_from() const {
        return exposure_counted_from_;
    }
    // The largest share of the requests that `build` may get. A build that was not announced is
    // treated as in the first stage; a restricted participation lowers the cap further.
    double cap_of(Build build, double first_cap) const {
        const double cap = is_announced(build) ? status_->cap : first_cap;
        switch (participation_) {
            case TrialParticipation::no_trial:
                return 0;
            case TrialParticipation::first_stage:
                return std::min(cap, first_cap);
            case TrialParticipation::open:
                break;
        }
        return cap;
    }
    int stage_of(Build build) const {
        return is_announced(build) ? status_->stage.value : 0;
    }

  private:
    std::optional<ReleaseStatus> status_;
    TrialParticipation participation_ = TrialParticipation::open;
    Seconds exposure_counted_from_ = kNever;
};

}  // namespace tideline
