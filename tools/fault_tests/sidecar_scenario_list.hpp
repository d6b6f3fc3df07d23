// The fixed scenarios of a fleet of sidecars, by subject. Each injects its faults into a fleet
// whose members are all current, and adds what it finds to the violations of the run.
#pragma once

#include "fault_tests/sidecar_scenario_run.hpp"

namespace tideline::fault_tests {

// sidecar_scenarios_membership.cpp
void lagging_member_updated(SidecarScenarioRun& run);
void receives_nothing(SidecarScenarioRun& run);
void lagging_member_excluded(SidecarScenarioRun& run);
void false_revisions(SidecarScenarioRun& run);
void partition(SidecarScenarioRun& run);
void member_restarted(SidecarScenarioRun& run);
void slow(SidecarScenarioRun& run);
void member_stopped(SidecarScenarioRun& run);

// sidecar_scenarios_input.cpp
void invalid_connections(SidecarScenarioRun& run);
void configuration_reloaded(SidecarScenarioRun& run);

}  // namespace tideline::fault_tests
