// The fault tests of a fleet of sidecars: fixed scenarios, schedules of events, and what the fleet
// costs a sidecar.
#pragma once

#include <string>
#include <vector>

#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

std::vector<std::string> sidecar_scenario_names();
// `scenario`: one of the fixed ones, or all. False where something did not hold; `scenarios_run`
// counts them.
bool run_sidecar_scenarios(const SidecarClusterOptions& options, const std::string& scenario,
                           int& scenarios_run);
// The events in their order, then the check of the whole record. False where something did not
// hold.
bool run_sidecar_schedule(const SidecarClusterOptions& options, const std::string& name,
                          const std::vector<Event>& events);
// What the fleet costs a sidecar: the same load with it off and on.
void measure_sidecar_cost(SidecarClusterOptions options);

}  // namespace tideline::fault_tests
