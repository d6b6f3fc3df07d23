// The fixed scenarios of replication, by subject. Each injects its faults into a fleet whose
// replicas are complete, and adds what it finds to the violations of the fleet.
#pragma once

#include "fault_tests/replication_run.hpp"

namespace tideline::fault_tests {

// replication_scenarios_machine_loss.cpp
void charge_in_flight(ReplicationFleet& fleet);
void coordinator_lost(ReplicationFleet& fleet);
void primaries_lost(ReplicationFleet& fleet);
void place_lost(ReplicationFleet& fleet);
void no_planners(ReplicationFleet& fleet);
void too_many_machines_lost(ReplicationFleet& fleet);
void lost_in_repair(ReplicationFleet& fleet);
void epochs_kept(ReplicationFleet& fleet);

// replication_scenarios_network.cpp
void primary_lost_mid_replication(ReplicationFleet& fleet);
void claim_reply_delayed(ReplicationFleet& fleet);
void slow_links(ReplicationFleet& fleet);
void stopped_primary(ReplicationFleet& fleet);
void rolling_restart(ReplicationFleet& fleet);

// replication_scenarios_disk.cpp
void failing_disks(ReplicationFleet& fleet);
void altered_record(ReplicationFleet& fleet);
void slow_disk_at_start(ReplicationFleet& fleet);

}  // namespace tideline::fault_tests
