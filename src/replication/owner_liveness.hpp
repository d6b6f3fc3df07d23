// Determines whether the sidecar that claimed an attempt may still send it.
#pragma once

#include <map>
#include <set>

#include "replication/types.hpp"

namespace tideline::replication {

// Single-threaded; neither does I/O nor reads a clock.
class OwnerLiveness {
  public:
    // `unknown_member_timeout`: a member that gossip has not mentioned this many seconds after
    // `started_at` counts as dead.
    OwnerLiveness(const Name& self, const Incarnation& incarnation, Seconds started_at,
                  Seconds unknown_member_timeout);

    // Updates the presence of a member, as known from gossip. Ignored if `incarnation` is older
    // than the known one.
    void update_member(const Name& name, const Incarnation& incarnation, bool gone);
    // Whether the owner of an attempt counts as dead. The owner may merely be cut off from this
    // member, and may still send the attempt. The caller may therefore do only what is allowed
    // beside an attempt that may still run.
    bool is_dead(Seconds now, const EffectOwner& owner) const;
    // Members whose newest incarnation has left or failed.
    const std::set<Name>& gone_members() const {
        return gone_;
    }

  private:
    Name self_;
    Incarnation incarnation_;
    Seconds started_at_;
    Seconds unknown_member_timeout_;
    // Newest known incarnation of each other member.
    std::map<Name, Incarnation> incarnations_;
    std::set<Name> gone_;
};

}  // namespace tideline::replication
