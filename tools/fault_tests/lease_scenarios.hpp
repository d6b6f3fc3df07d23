// The fault tests of planners and leases: fixed scenarios, schedules of events, and measurements.
#pragma once

#include <string>
#include <vector>

#include "fault_tests/planner_cluster.hpp"

namespace tideline::fault_tests {

std::vector<std::string> lease_scenario_names();
// Runs the scenario of that name, or all of them for "all". Adds the number of scenarios run to
// `scenarios_run`. Returns false if a check failed.
bool run_lease_scenarios(const PlannerClusterOptions& options, const std::string& scenario,
                         int& scenarios_run);
// Applies the events in order, then checks the complete record. Returns false if a check failed.
bool run_lease_schedule(const PlannerClusterOptions& options, const std::string& name,
                        const std::vector<Event>& events);
// Measures the time until the next holder acts after the current one is killed, stopped, cut off or
// asked to release its lease, each `times` times.
void measure_holder_gaps(const PlannerClusterOptions& options, int times);
// Measures the CPU time and memory of sidecars that hold a lease and of sidecars that wait for
// both, in comparison with the same fleet without planners.
void measure_lease_cost(const PlannerClusterOptions& options);
// Measures grants per second and fsyncs per grant with 3 and 5 planners, in comparison with one
// SQLite database without replicas, and the cost of several ways to store a log. Each row takes
// `duration`.
void measure_grants(const PlannerClusterOptions& options, Seconds duration);

}  // namespace tideline::fault_tests
