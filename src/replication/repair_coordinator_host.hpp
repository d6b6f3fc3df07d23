// Interface through which the repair coordinator acts on its environment.
#pragma once

#include <string>

#include "replication/member_health.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Implemented by the owner of the coordinator. The calls return at once and never call back into
// it.
class RepairCoordinatorHost {
  public:
    virtual ~RepairCoordinatorHost() = default;
    // Proposes a table to the planners. The result arrives by RepairCoordinator::apply_table or
    // proposal_failed.
    virtual void propose(const ReplicaTable& table) = 0;
    // Asks all members for their reports.
    virtual void request_reports() = 0;
    // A member was excluded: it counts as unavailable for the cooldown.
    virtual void on_member_excluded(const Exclusion& exclusion) = 0;
    // Raises a fleet-wide alarm, which stays raised until it is cleared. The planners store the
    // keys.
    virtual void raise_alarm(const std::string& key, const std::string& text) = 0;
    virtual void clear_alarm(const std::string& key) = 0;
};

}  // namespace tideline::replication
