// Assigns the shards of the whole fleet to members while it holds a lease: replaces lost replicas
// and lets other members catch up. It only proposes tables; the planners agree on them.
// Single-threaded; neither does I/O nor reads a clock.
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

// Decides when to propose a table. ReplicaSetPlanner computes the contents of the table from
// MemberHealth and PrimaryReports. At most one proposal is pending. Times are in seconds.
class RepairCoordinator {
  public:
    // `host` has to outlive the coordinator.
    RepairCoordinator(RepairCoordinatorHost& host, const RepairSettings& settings);
    // Copies a coordinator into another simulated world.
    RepairCoordinator(const RepairCoordinator& other, RepairCoordinatorHost& host);
    RepairCoordinator(const RepairCoordinator&) = default;
    ~RepairCoordinator() = default;
    RepairCoordinator& operator=(const RepairCoordinator&) = delete;

    // `table` is the newest table that the planners have agreed on.
    void lease_acquired(Seconds now, const ReplicaTable& table);
    void lease_lost();
    // The planners have agreed on a table. Ignored unless it is newer than the known one.
    void apply_table(Seconds now, const ReplicaTable& table);
    // The proposed table was not accepted.
    void proposal_failed(Seconds now);
    // Updates the presence of a member, as known from gossip.
    void update_member(Seconds now, const Name& name, const Incarnation& incarnation,
                       const Place& place, bool present);
    // `silent_primaries` are those that did not answer the reporting member.
    void on_report(Seconds now, const Name& name, const Incarnation& incarnation,
                   const ReplicaReport& report, const std::set<Name>& silent_primaries);
    // Called for an operator: the member will not return, and its replicas count as lost.
    void remove_member(Seconds now, const Name& name);
    // The owner calls this at the time that due() returns. Calls the host. Does nothing without the
    // lease.
    void tick(Seconds now);
    // Plans at once. For tests that choose the order of events.
    void plan_now(Seconds now) {
        plan(now);
    }
    // When tick has to be called next; infinite without the lease.
    Seconds due() const;

    bool holds_lease() const {
        return holds_lease_;
    }
    // Counts of the shards as of the last tick.
    ReplicationStatus status() const {
        return status_;
    }
    // Digest of the state for the model checker: worlds with equal texts behave alike.
    std::string state() const;

  private:
    void plan(Seconds now);
    void update_status(Seconds now);
    bool may_propose(Seconds now);
    void propose_next_table(Seconds now);

    RepairCoordinatorHost* host_;
    RepairSettings settings_;
    bool holds_lease_ = false;
    // A proposal is pending: it was neither accepted nor rejected, and has not timed out.
    bool has_pending_proposal_ = false;
    // The newest table that the planners have agreed on; `member_health_` has its version and
    // disks.
    ReplicaTable table_;
    MemberHealth member_health_;
    // Contains only reports made under the version of `table_`.
    PrimaryReports primary_reports_;
    RepairAlarms alarms_;
    ReplicationStatus status_;
    // No table is proposed before this time.
    Seconds next_proposal_at_ = 0;
    Seconds next_report_request_at_ = 0;
    Seconds next_plan_at_ = 0;
};

}  // namespace tideline::replication
