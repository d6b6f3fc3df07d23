// Drives simulated planners and members in virtual time.
#pragma once

#include <cstdint>

#include "planner_world/world.hpp"
#include "simulation/driver.hpp"

namespace tideline::simulation {

// Returns the settings of all lease simulations.
inline PlannerWorldSettings lease_simulation_settings(int planners, int members,
                                                      std::uint32_t seed) {
    PlannerWorldSettings settings;
    settings.planners = planners;
    settings.members = members;
    settings.seed = seed;
    settings.any_planner = false;
    settings.drift = 0.01;
    settings.planner_core.leases = {3, 0.01, 0.5, 6};
    // A low threshold, so that planners often take and transfer snapshots.
    settings.planner_core.snapshot_after_entries = 40;
    settings.lease_client = {0.3, 1.0, 1.0};
    return settings;
}

// A driver that reports which planner leads and which member holds the lease.
class LeaseDriver : public Driver<PlannerWorld> {
  public:
    using Driver<PlannerWorld>::Driver;
    // Returns the first planner that serves requests as the leader; -1 if none does.
    int leader() const {
        for (int i = 0; i < world.planners(); ++i) {
            if (world.planner_core(i) && world.planner_core(i)->is_serving()) {
                return i;
            }
        }
        return -1;
    }
    // Returns the first member that may act under the lease; -1 if none may.
    int holder() const {
        for (int i = world.planners(); i < world.nodes(); ++i) {
            if (world.may_act(i)) {
                return i;
            }
        }
        return -1;
    }
};

}  // namespace tideline::simulation
