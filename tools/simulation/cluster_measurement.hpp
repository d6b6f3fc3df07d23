// Measures the cost and the detection times of the membership protocol by cluster size, beside
// full-mesh heartbeats. All figures are simulated.
#pragma once

namespace tideline::simulation {

// Measures the production membership protocol and prints one table row.
void measure_membership(int members, int seeds);
// Measures the baseline, full-mesh heartbeats, and prints one table row.
void measure_heartbeat_mesh(int members, int seeds);

}  // namespace tideline::simulation
