// Replication scenarios: links are cut or slow, processes are stopped and restarted.

#include "fault_tests/replication_scenario_list.hpp"

namespace tideline::fault_tests {

// A primary is cut off from some members, so that a write reaches only part of its replicas, and is
// then lost.
void primary_lost_mid_replication(ReplicationFleet& fleet) {
    const int primary = fleet.busiest_member(true);
    for (int to = 1; to <= 3; ++to) {
        if (to != primary) {
            fleet.apply("cut", {static_cast<double>(primary), static_cast<double>(to)});
        }
    }
    fleet.run(0.35);
    fleet.lose_machine(primary);
    fleet.apply("heal");
    fleet.run(1.5);
    fleet.apply("start", {static_cast<double>(primary)});
}
// The primary's reply to a claim is held back on a cut link. The claimant gets it once the link
// heals, or is lost before.
void claim_reply_delayed(ReplicationFleet& fleet) {
    const int primary = fleet.busiest_member(true);
    for (const bool claimant_lost : {false, true}) {
        const int claimant = primary == 1 ? 2 : 1;
        fleet.apply("cut", {static_cast<double>(primary), static_cast<double>(claimant)});
        for (int i = 0; i < 12; ++i) {
            fleet.clients.submit(i % 2 ? "charge" : "instalment", claimant - 1);
        }
        fleet.run(claimant_lost ? 0.2 : 1.2);
        if (claimant_lost) {
            fleet.lose_machine(claimant);
        }
        fleet.apply("heal");
        fleet.run(1);
        if (claimant_lost) {
            fleet.apply("start", {static_cast<double>(claimant)});
        }
        fleet.wait_until_complete();
    }
}
// The links of the busiest primary have a delay of 3 s.
void slow_links(ReplicationFleet& fleet) {
    fleet.apply("slow", {static_cast<double>(fleet.busiest_member(true)), 3.0});
    fleet.run(6);
    for (int i = 1; i <= fleet.options.members; ++i) {
        fleet.apply("slow", {static_cast<double>(i), 0.0});
    }
    fleet.run(3.2);  // until the delayed messages have arrived
}
// A primary is stopped until another member is primary of its shards, and is then resumed.
void stopped_primary(ReplicationFleet& fleet) {
    const double primary = fleet.busiest_member(true);
    fleet.apply("stop", {primary});
    fleet.run(3);
    fleet.apply("go", {primary});
    fleet.run(0.5);
}
// The members are shut down and started again one after the other.
void rolling_restart(ReplicationFleet& fleet) {
    for (int i = 1; i <= fleet.options.members; ++i) {
        const double number = i;
        fleet.apply("term", {number});
        SidecarCluster::Member& member = fleet.sidecars.members[static_cast<std::size_t>(i)];
        fleet.wait_until(6, [&] { return !member.process->runs(); });
        fleet.apply("start", {number});
        fleet.run(0.8);
    }
}

}  // namespace tideline::fault_tests
