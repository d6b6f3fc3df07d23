// The options of the demonstration's command line, and the ports, host numbers and times it uses.
#pragma once

#include <string>

#include "policy/types.hpp"

namespace tideline::demo {

// Build numbers.
constexpr int kCurrentBuild = 41;
constexpr int kTrialBuild = 42;
constexpr int kEndpointsPerBuild = 4;
constexpr int kEndpointPort = 5432;
constexpr int kDiscoveryPort = 8500;
constexpr int kPlatformPort = 6400;
constexpr int kClientPort = 5433;
constexpr int kClusterPort = 7801;
constexpr int kPlannerPort = 7901;
constexpr int kFirstPlannerHost = 768;     // host number of the first planner
constexpr Seconds kTrialStartDelay = 2;    // s: from the start until the new build is offered
constexpr Seconds kPlacementTimeout = 15;  // s: how long to wait until all replicas are placed

struct Options {
    std::string program = "build/tideline";  // path of the tideline program
    int sidecars = 2;
    double rate = 60;      // requests per second and sidecar
    Seconds duration = 9;  // for which clients send requests
    bool trial_fails = false;
    bool cluster = false;
    int planners = 0;  // only with a cluster: planners, which grant the leases of its tasks
    // Replicas of each shard, only with planners. If there are any, a machine is lost at the end.
    int replicas = 0;
};

}  // namespace tideline::demo
