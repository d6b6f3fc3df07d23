// The fault tests of a fleet of sidecars: fixed scenarios, schedules of events, and a measurement
// of what cluster membership costs a sidecar.
#pragma once

#include <string>
#include <vector>

#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

std::vector<std::string> sidecar_scenario_names();
// Runs the scenario of that name, or all of them for "all". Adds the number of scenarios run to
// `scenarios_run`. Returns false if a check failed.
bool run_sidecar_scenarios(const SidecarClusterOptions& options, const std::string& scenario,
                           int& scenarios_run);
// Applies the events in order, then checks the complete record. Returns false if a check failed.
bool run_sidecar_schedule(const SidecarClusterOptions& options, const std::string& name,
                          const std::vector<Event>& events);
// Measures CPU time, memory and descriptors of a sidecar under the same load, without cluster
// membership and with it.
void measure_sidecar_cost(SidecarClusterOptions options);

}  // namespace tideline::fault_tests
