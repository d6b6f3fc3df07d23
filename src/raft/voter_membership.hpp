// Tracks which planners are to be voters, and computes the next single change of the voter set
// towards that. It is part of the replicated state: all planners apply the same commands to it. It
// does no I/O and reads no clock.
#pragma once

#include <functional>
#include <optional>
#include <set>

#include "raft/types.hpp"

namespace tideline::raft {

class VoterMembership {
  public:
    // Admits a planner on a disk, in place of any server with the same name.
    void admit(const Name& name, ServerId server, const std::string& address);
    // Removes the planner, unless it is the only one.
    void remove(const Name& name);
    // Returns the voter set after the next change. An admitted server first becomes a learner. Once
    // it has caught up, the server of the planner's former disk is removed, and only then does the
    // new server get its vote. Servers whose planner is no longer admitted are removed before a
    // learner gets a vote. Returns nothing if no change is left, or if the next one has to wait
    // until a learner has caught up.
    std::optional<VoterSet> next_voter_set(const VoterSet& current,
                                           const std::function<bool(ServerId)>& caught_up) const;
    // Whether a planner of this name was ever admitted. If so, only an operator may admit it with
    // another disk.
    bool is_known(const Name& name) const {
        return known_.contains(name);
    }
    bool is_admitted(ServerId server) const {
        return admitted_.contains(server);
    }
    // The voter set once all changes are done.
    const VoterSet& target_voters() const {
        return admitted_;
    }
    const std::set<Name>& known_names() const {
        return known_;
    }
    void restore(VoterSet admitted, std::set<Name> known);

  private:
    VoterSet admitted_;     // all of these are to become voters
    std::set<Name> known_;  // the names of all planners that were ever admitted
};

}  // namespace tideline::raft
