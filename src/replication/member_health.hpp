// Health of the members, as the repair coordinator knows it from gossip and from their reports:
// who may become a replica, whose replicas count, and whose are lost.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "replication/primary_reports.hpp"
#include "replication/repair_settings.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// What is known of one member.
struct MemberState {
    Place place;
    // The newest that was heard of; what an earlier one sends is ignored.
    Incarnation incarnation;
    bool present = false;
    // When `present` changed last; 0: never.
    Seconds presence_changed_at = 0;
    // The last report of this incarnation, since the lease was acquired.
    std::optional<ReplicaReport> report;
    Seconds reported_at = 0;
    // Until then the member counts as unavailable: others reported that it does not respond.
    Seconds excluded_until = 0;
    // Primaries that did not answer this member, and when it last reported so.
    std::map<Name, Seconds> silent_primaries;
};

// Why a member counts as unavailable although it is present.
enum class ExclusionReason {
    silent,   // others report that it does not answer as a primary
    lagging,  // it does not acknowledge as a replica, or hears no acknowledgement as a primary
};
const char* exclusion_reason_name(ExclusionReason reason);

struct Exclusion {
    Name member;
    ExclusionReason reason = ExclusionReason::silent;
    // Members that reported it.
    std::size_t complaints = 0;
};

// One thread; no I/O, no clock: each call carries the time in seconds.
class MemberHealth {
  public:
    explicit MemberHealth(const RepairSettings& settings);

    // Forgets the reports to a former lease holder. `table` is the newest.
    void lease_acquired(Seconds now, const ReplicaTable& table);
    // Takes the version, the disks and the replica sets of a newer table.
    void apply_table(const ReplicaTable& table);
    // Presence of a member, from gossip. Ignored if `incarnation` is older than the known one.
    void update_member(Seconds now, const Name& name, const Incarnation& incarnation,
                       const Place& place, bool present);
    // Stores a report. Returns false, and stores nothing, if its incarnation is older than the
    // known one. `silent_primaries`: those that did not answer the member.
    bool add_report(Seconds now, const Name& name, const Incarnation& incarnation,
                    const ReplicaReport& report, const std::set<Name>& silent_primaries);
    // By an operator: the replicas of this member count as lost.
    void remove_member(const Name& name);
    // A removed member that is present again and is in no replica set of `table` may be used again.
    void readmit_returned_members(const ReplicaTable& table);
    // Excludes members that others report as not responding, for the cooldown. Returns those that
    // were not excluded before.
    std::vector<Exclusion> exclude_unresponsive(Seconds now, const ReplicaTable& table,
                                                const PrimaryReports& primary_reports);

    // May become a replica: present, with a recent report and a disk that works.
    bool is_healthy(Seconds now, const Name& name) const;
    // Has a place in the ideal replica sets: present, or absent for less than the limit.
    bool is_placement_candidate(Seconds now, const Name& name) const;
    // Its replica of the shard is out of reach or lost, or it is excluded. Exclusions never take
    // the last replica within reach, which is the only one that the shard can be repaired from.
    bool is_unavailable(Seconds now, ShardId shard_id, const Name& name) const;
    // It has reported lately, under the newest table, that it holds its replica of the shard.
    bool is_confirmed(Seconds now, ShardId shard_id, const Name& name) const;
    // Its replica of the shard is gone for certain: removed, on another disk, or corrupt.
    bool is_lost(const Name& name, ShardId shard_id) const;

    // All members that were ever heard of, or that a report named.
    const std::map<Name, MemberState>& members() const {
        return members_;
    }
    const std::set<Name>& removed_members() const {
        return removed_members_;
    }
    // When the lease was acquired: until kMaxReplicaReportAge later, reports may still be on their
    // way.
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
    void exclude(Seconds now, const Exclusion& exclusion, std::vector<Exclusion>& excluded);

    Seconds absence_limit_;
    Seconds cooldown_;
    std::map<Name, MemberState> members_;
    // Removed by an operator, in the table or to be proposed with the next one.
    std::set<Name> removed_members_;
    // Of the newest table: the disk on which each member's replicas are counted.
    std::map<Name, Disk> disks_;
    TableVersion table_version_;
    // Of the newest table: the replicas of each shard, its primary first.
    std::vector<std::vector<Name>> replicas_;
    Seconds lease_acquired_at_ = 0;
};

}  // namespace tideline::replication
