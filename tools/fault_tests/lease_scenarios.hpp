// The fault tests of planners and leases: fixed scenarios, schedules of events, and how
// long a lease is without a holder.
#pragma once

#include <string>
#include <vector>

#include "fault_tests/planner_cluster.hpp"

namespace tideline::fault_tests {

std::vector<std::string> lease_scenario_names();
// `scenario`: one of the fixed ones, or all. False where something did not hold; `scenarios_run`
// counts them.
bool run_lease_scenarios(const PlannerClusterOptions& options, const std::string& scenario,
                         int& scenarios_run);
// Applies the events in their order, then checks the whole record. False where something did not
// hold.
bool run_lease_schedule(const PlannerClusterOptions& options, const std::string& name,
                        const std::vector<Event>& events);
// The time until the next holder acts, after each of `times` kills, stops, cuts and releases.
void measure_holder_gaps(const PlannerClusterOptions& options, int times);
// What leases cost a sidecar that holds both and one that waits for both, beside the same fleet
// without planners.
void measure_lease_cost(const PlannerClusterOptions& options);
// Grants a second and fsyncs a grant, with 3 and 5 planners, beside one SQLite file without
// replicas; and what ways to store a log cost. `span`: s for each row.
void measure_grants(const PlannerClusterOptions& options, Seconds duration);

}  // namespace tideline::fault_tests
