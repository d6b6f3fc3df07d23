// Effects of the repair coordinator.
#pragma once

#include <string>

#include "replication/member_health.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Implemented by whoever runs the coordinator. Calls return at once, and never call back into it.
class RepairCoordinatorHost {
  public:
    virtual ~RepairCoordinatorHost() = default;
    // Answered by RepairCoordinator::apply_table or proposal_failed.
    virtual void propose(const ReplicaTable& table) = 0;
    // Asks all members for their reports.
    virtual void request_reports() = 0;
    // A member counts as unavailable from now on, for the cooldown.
    virtual void on_member_excluded(const Exclusion& exclusion) = 0;
    // Of the whole fleet, until it is cleared. The keys are stored by the planners.
    virtual void raise_alarm(const std::string& key, const std::string& text) = 0;
    virtual void clear_alarm(const std::string& key) = 0;
};

}  // namespace tideline::replication
