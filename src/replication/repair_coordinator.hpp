// Assigns the shards to members for the whole fleet, under a lease: replaces replicas that are
// lost, and lets others catch up. It only proposes tables; the planners agree on them. One thread;
// no I/O, no clock.
#pragma once

#include <set>
#include <string>

#include "replication/member_health.hpp"
#include "replication/primary_reports.hpp"
#include "replication/repair_alarms.hpp"
#include "replication/repair_coordinator_host.hpp"
#include "replication/repair_settings.hpp"
#include "replication/replication_status.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Decides when to propose a table: what is in it is decided by ReplicaSetPlanner, from MemberHealth
// and PrimaryReports. At most one proposal is open. Times are in seconds.
class RepairCoordinator {
  public:
    // `host` outlives this.
    RepairCoordinator(RepairCoordinatorHost& host, const RepairSettings& settings);
    // A copy for another simulated world.
    RepairCoordinator(const RepairCoordinator& other, RepairCoordinatorHost& host);
    RepairCoordinator(const RepairCoordinator&) = default;
    ~RepairCoordinator() = default;
    RepairCoordinator& operator=(const RepairCoordinator&) = delete;

    // `table` is the newest that the planners have agreed on.
    void lease_acquired(Seconds now, const ReplicaTable& table);
    void lease_lost();
    // A table that the planners have agreed on; ignored unless it is newer than the known one.
    void apply_table(Seconds now, const ReplicaTable& table);
    // The proposed table was not accepted.
    void proposal_failed(Seconds now);
    // Presence of a member, from gossip.
    void update_member(Seconds now, const Name& name, const Incarnation& incarnation,
                       const Place& place, bool present);
    // `silent_primaries`: those that did not answer the member.
    void on_report(Seconds now, const Name& name, const Incarnation& incarnation,
                   const ReplicaReport& report, const std::set<Name>& silent_primaries);
    // By an operator: the member will not come back, and its replicas count as lost.
    void remove_member(Seconds now, const Name& name);
    // To be called at due(); calls the host. Does nothing without the lease.
    void tick(Seconds now);
    // For tests that choose the order of events.
    void plan_now(Seconds now) {
        plan(now);
    }
    // When tick is to be called next; infinite without the lease.
    Seconds due() const;

    bool holds_lease() const {
        return holds_lease_;
    }
    // As of the last tick.
    ReplicationStatus status() const {
        return status_;
    }
    // Digest of the state, for the model checker: worlds with equal texts behave alike.
    std::string state() const;

  private:
    void plan(Seconds now);
    void update_status(Seconds now);
    bool may_propose(Seconds now);
    void propose_next_table(Seconds now);

    RepairCoordinatorHost* host_;
    RepairSettings settings_;
    bool holds_lease_ = false;
    // A proposal is open: neither accepted nor failed, and not timed out.
    bool proposing_ = false;
    // The newest that the planners have agreed on; `member_health_` has its version and disks.
    ReplicaTable table_;
    MemberHealth member_health_;
    // Under the version of `table_` only.
    PrimaryReports primary_reports_;
    RepairAlarms alarms_;
    ReplicationStatus status_;
    // No table is proposed before this.
    Seconds propose_at_ = 0;
    Seconds next_report_request_at_ = 0;
    Seconds next_plan_at_ = 0;
};

}  // namespace tideline::replication
