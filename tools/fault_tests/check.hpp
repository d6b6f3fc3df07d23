// Checks the complete record of a fault test with a sidecar cluster.
#pragma once

#include <string>
#include <vector>

#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

// Waits until all members that run listen. Returns one line for each violated rule; empty if none
// was violated.
std::vector<std::string> violations_of(SidecarCluster& cluster);

// A change of a member's participation in the trial, as its log reports it.
struct TrialParticipation {
    Seconds at = 0;
    std::string value;
};
// Returns all changes in order. After a restart a member takes part ("open").
std::vector<TrialParticipation> trial_participation_of(const SidecarCluster& cluster, int member);

}  // namespace tideline::fault_tests
