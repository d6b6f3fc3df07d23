// Health of the members, as known to the repair coordinator from gossip and from their reports:
// which members may become replicas, whose replicas count, and whose are lost.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "replication/primary_reports.hpp"
#include "replication/repair_settings.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// State of one member.
struct MemberState {
    Place place;
    // Newest known incarnation. Messages of earlier incarnations are ignored.
    Incarnation incarnation;
    bool present = false;
    // When `present` last changed; 0: never.
    Seconds presence_changed_at = 0;
    // Last report of this incarnation since the lease was acquired.
    std::optional<ReplicaReport> report;
    Seconds reported_at = 0;
    // Until this time the member counts as unavailable, because others reported that it does not
    // respond.
    Seconds excluded_until = 0;
    // Primaries that did not answer this member, and when it last reported each of them.
    std::map<Name, Seconds> silent_primaries;
};

// Why a member counts as unavailable although it is present.
enum class ExclusionReason {
    silent,  // other members report that it does not answer as a primary
    // As a replica it does not acknowledge, or as a primary it receives no acknowledgements.
    lagging,
};
const char* exclusion_reason_name(ExclusionReason reason);

// A member that was excluded, and why.
struct Exclusion {
    Name member;
    ExclusionReason reason = ExclusionReason::silent;
    // Number of members that reported the problem.
    std::size_t complaints = 0;
};

// Single-threaded; neither does I/O nor reads a clock. Each call passes the time in seconds.
class MemberHealth {
  public:
    explicit MemberHealth(const RepairSettings& settings);

    // Forgets the reports received under an earlier lease. `table` is the newest table.
    void lease_acquired(Seconds now, const ReplicaTable& table);
    // Adopts the version, the disks and the replica sets of a newer table.
    void apply_table(const ReplicaTable& table);
    // Updates the presence of a member, as known from gossip. Ignored if `incarnation` is older
    // than the known one.
    void update_member(Seconds now, const Name& name, const Incarnation& incarnation,
                       const Place& place, bool present);
    // Stores a report. Returns false and stores nothing if its incarnation is older than the known
    // one. `silent_primaries` are those that did not answer the reporting member.
    bool add_report(Seconds now, const Name& name, const Incarnation& incarnation,
                    const ReplicaReport& report, const std::set<Name>& silent_primaries);
    // Called for an operator: from now on the replicas of this member count as lost.
    void remove_member(const Name& name);
    // Lets a removed member be used again if it is present and is in no replica set of `table`.
    void readmit_returned_members(const ReplicaTable& table);
    // Excludes members that others report as unresponsive for the cooldown. Returns those that were
    // not excluded before.
    std::vector<Exclusion> exclude_unresponsive(Seconds now, const ReplicaTable& table,
                                                const PrimaryReports& primary_reports);

    // Whether the member may become a replica: it is present, has reported recently, and its disk
    // works.
    bool is_healthy(Seconds now, const Name& name) const;
    // Whether the member belongs to the ideal replica sets: it is present, or has been absent for
    // less than the absence limit.
    bool is_placement_candidate(Seconds now, const Name& name) const;
    // Whether the member's replica of the shard is unreachable or lost, or the member is excluded.
    // An exclusion never makes the last reachable replica unavailable, because the shard can be
    // repaired only from that one.
    bool is_unavailable(Seconds now, ShardId shard_id, const Name& name) const;
    // Whether the member has reported recently that it has applied the newest table, and its
    // replica of the shard is available.
    bool is_confirmed(Seconds now, ShardId shard_id, const Name& name) const;
    // Whether the member's replica of the shard is certainly lost: the member was removed, has
    // another disk, or found the shard corrupt.
    bool is_lost(const Name& name, ShardId shard_id) const;

    // All members that gossip or a report has ever named.
    const std::map<Name, MemberState>& members() const {
        return members_;
    }
    const std::set<Name>& removed_members() const {
        return removed_members_;
    }
    // When the lease was acquired. Until kMaxReplicaReportAge later, first reports may still be
    // missing.
    Seconds lease_acquired_at() const {
        return lease_acquired_at_;
    }

  private:
    bool is_unreachable_or_lost(Seconds now, ShardId shard_id, const Name& name) const;
    bool is_excluded(Seconds now, const Name& name) const;
    bool is_exempt_from_exclusion(Seconds now, ShardId shard_id, const Name& name) const;
    void exclude_silent_primaries(Seconds now, std::vector<Exclusion>& excluded);
    void exclude_lagging(Seconds now, const ReplicaTable& table,
                         const PrimaryReports& primary_reports, std::vector<Exclusion>& excluded);
    void exclude_member(Seconds now, const Exclusion& exclusion, std::vector<Exclusion>& excluded);

    Seconds absence_limit_;
    Seconds cooldown_;
    std::map<Name, MemberState> members_;
    // Members removed by an operator, already in the table or to be proposed with the next one.
    std::set<Name> removed_members_;
    // From the newest table: the disk that holds each member's replicas.
    std::map<Name, Disk> disks_;
    TableVersion table_version_;
    // From the newest table: the replicas of each shard, the primary first.
    std::vector<std::vector<Name>> replicas_;
    Seconds lease_acquired_at_ = 0;
};

}  // namespace tideline::replication
