// Decides on this sidecar's votes on the build on trial: which vote is wanted, and when it is sent,
// sent again after an error, and renewed before it expires.
#pragma once

#include <optional>

#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/release_judge.hpp"
#include "policy/release_state.hpp"

namespace tideline {

struct Ballot {
    Build build;
    Stage stage;
    Vote vote = Vote::none;
    bool is_first_back_vote = false;  // the first vote of this sidecar to withdraw the build
};

class Ballots {
  public:
    Ballots(const ReleaseSettings& settings, const ReleaseState& release, const ReleaseJudge& judge,
            RandomSource& random)
        : settings_(settings), release_(release), judge_(judge), random_(random) {}

    // Returns the vote to send now, if any. At most one vote is in flight.
    std::optional<Ballot> next_ballot(Seconds now);
    void vote_answered(Seconds now, VoteReply reply);

  private:
    Vote wanted_vote(Seconds now) const;
    bool is_due(Seconds now, Vote vote) const;

    const ReleaseSettings& settings_;
    const ReleaseState& release_;
    const ReleaseJudge& judge_;
    RandomSource& random_;
    Vote counted_ = Vote::none;  // the last vote that was counted
    Ballot sent_;
    Seconds sent_at_ = kNever;
    Seconds due_at_ = kNever;
    bool in_flight_ = false;
};

}  // namespace tideline
