// The fixed scenarios of planners and leases, by subject. Each injects its faults into a cluster
// that has started completely, and adds what it finds to the violations of the run.
#pragma once

#include "fault_tests/fleet.hpp"
#include "fault_tests/planner_cluster_run.hpp"

namespace tideline::fault_tests {

// lease_scenarios_holder.cpp
void holder_killed(PlannerClusterRun& run);
void lease_released(PlannerClusterRun& run);
void stopped_between(PlannerClusterRun& run);
void holder_cut_off(PlannerClusterRun& run);
void lease_revoked(PlannerClusterRun& run);

// lease_scenarios_planners.cpp
void leader_lost(PlannerClusterRun& run);
void rolling_restart(PlannerClusterRun& run);
void no_majority(PlannerClusterRun& run);
void planner_replaced(PlannerClusterRun& run);
void another_cluster(PlannerClusterRun& run);

// lease_scenarios_disk.cpp
void failing_disks(PlannerClusterRun& run);
void damaged_disks(PlannerClusterRun& run);
void clock_set_back(PlannerClusterRun& run);

// lease_scenarios_fleet.cpp
void roll_call(Fleet& fleet);
void warming(Fleet& fleet);

}  // namespace tideline::fault_tests
