#include "replication/member_health.hpp"

#include <algorithm>

namespace tideline::replication {
namespace {

constexpr Seconds kMaxComplaintAge = 3;  // older complaints do not count
// A primary is excluded once this many members report that it does not answer, or once it reports
// this many members that do not acknowledge.
constexpr std::size_t kMinComplaints = 2;

// Members grouped by the primary of their shards.
struct MembersByPrimary {
    std::map<Name, std::set<Name>> lagging;  // recently reported as not acknowledging
    std::map<Name, std::set<Name>> backups;  // replicas other than the primary
};

MembersByPrimary members_by_primary(Seconds now, const ReplicaTable& table,
                                    const PrimaryReports& primary_reports) {
    MembersByPrimary members;
    for (std::uint32_t i = 0; i < table.shards.size(); ++i) {
        const ReplicaSet& replica_set = table.shards[i];
        if (replica_set.replicas.empty()) {
            continue;
        }
        const Name& primary = replica_set.primary();
        for (const Name& name : replica_set.replicas) {
            if (name != primary) {
                members.backups[primary].insert(name);
            }
        }
        for (const auto* names : {&replica_set.replicas, &replica_set.catching_up}) {
            for (const Name& name : *names) {
                const std::optional<Seconds> lagging_at =
                    primary_reports.lagging_at(ShardId{i}, name);
                if (lagging_at && now < *lagging_at + kMaxReplicaReportAge) {
                    members.lagging[primary].insert(name);
                }
            }
        }
    }
    return members;
}

}  // namespace

const char* exclusion_reason_name(ExclusionReason reason) {
    switch (reason) {
        case ExclusionReason::silent:
            return "silent";
        case ExclusionReason::lagging:
            return "lagging";
    }
    return "unknown";
}

MemberHealth::MemberHealth(const RepairSettings& settings)
    : absence_limit_(settings.absence_limit), cooldown_(settings.cooldown) {}

void MemberHealth::lease_acquired(Seconds now, const ReplicaTable& table) {
    lease_acquired_at_ = now;
    apply_table(table);
    removed_members_ = table.removed_members;
    for (auto& [name, member] : members_) {
        member.report.reset();
    }
}

void MemberHealth::apply_table(const ReplicaTable& table) {
    table_version_ = table.version;
    disks_ = table.disks;
    replicas_.clear();
    for (const ReplicaSet& replica_set : table.shards) {
        replicas_.push_back(replica_set.replicas);
    }
}

void MemberHealth::update_member(Seconds now, const Name& name, const Incarnation& incarnation,
                                 const Place& place, bool present) {
    MemberState& member = members_[name];
    if (incarnation < member.incarnation) {
        return;
    }
    // The report of a former incarnation about its disk does not hold for this one.
    if (incarnation > member.incarnation) {
        member.report.reset();
    }
    if (present != member.present || member.presence_changed_at == 0) {
        member.presence_changed_at = now;
    }
    member.incarnation = incarnation;
    member.place = place;
    member.present = present;
}

bool MemberHealth::add_report(Seconds now, const Name& name, const Incarnation& incarnation,
                              const ReplicaReport& report, const std::set<Name>& silent_primaries) {
    MemberState& member = members_[name];
    // A delayed report of a former incarnation describes a former disk.
    if (incarnation < member.incarnation) {
        return false;
    }
    member.incarnation = incarnation;
    member.report = report;
    member.reported_at = now;
    for (const Name& primary : silent_primaries) {
        member.silent_primaries[primary] = now;
    }
    return true;
}

void MemberHealth::remove_member(const Name& name) {
    removed_members_.insert(name);
}

void MemberHealth::readmit_returned_members(const ReplicaTable& table) {
    std::erase_if(removed_members_, [&](const Name& name) {
        const auto it = members_.find(name);
        return it != members_.end() && it->second.present && it->second.report &&
               table.removed_members.contains(name) &&
               std::none_of(
                   table.shards.begin(), table.shards.end(), [&](const ReplicaSet& replica_set) {
                       return replica_set.has_replica(name) || replica_set.is_catching_up(name);
                   });
    });
}

std::vector<Exclusion> MemberHealth::exclude_unresponsive(Seconds now, const ReplicaTable& table,
                                                          const PrimaryReports& primary_reports) {
    std::vector<Exclusion> excluded;
    exclude_silent_primaries(now, excluded);
    exclude_lagging(now, table, primary_reports, excluded);
    return excluded;
}

// Excludes primaries that other members report as not answering. A primary that receives messages
// but whose own messages are lost would otherwise block its shards permanently.
void MemberHealth::exclude_silent_primaries(Seconds now, std::vector<Exclusion>& excluded) {
    std::map<Name, std::size_t> complaints;
    std::size_t reporters = 0;
    for (const auto& [name, member] : members_) {
        if (member.present && now < member.reported_at + kMaxReplicaReportAge) {
            ++reporters;
        }
        for (const auto& [primary, reported_at] : member.silent_primaries) {
            std::size_t& count = complaints[primary];
            if (primary != name && now < reported_at + kMaxComplaintAge) {
                ++count;
            }
        }
    }
    for (const auto& [name, count] : complaints) {
        // At least half of the other members have to complain: if fewer do, the fault may be
        // theirs.
        if (reporters > 0 && count >= kMinComplaints && 2 * count >= reporters - 1) {
            exclude_member(now, {name, ExclusionReason::silent, count}, excluded);
        }
    }
}

// Excludes members that do not acknowledge. A primary that gets no acknowledgement from most of its
// backups more likely receives nothing itself, so it is excluded in their place.
void MemberHealth::exclude_lagging(Seconds now, const ReplicaTable& table,
                                   const PrimaryReports& primary_reports,
                                   std::vector<Exclusion>& excluded) {
    MembersByPrimary members = members_by_primary(now, table, primary_reports);
    for (const auto& [primary, lagging] : members.lagging) {
        // An absent member can't acknowledge, so it is no evidence against the primary.
        const auto present = static_cast<std::size_t>(
            std::count_if(lagging.begin(), lagging.end(), [&](const Name& name) {
                const auto member = members_.find(name);
                return member != members_.end() && member->second.present;
            }));
        const bool primary_at_fault =
            present >= kMinComplaints && 2 * present > members.backups[primary].size();
        for (const Name& name : primary_at_fault ? std::set<Name>{primary} : lagging) {
            exclude_member(now, {name, ExclusionReason::lagging, lagging.size()}, excluded);
        }
    }
}

// Excludes a member for the cooldown. An exclusion that has not ended is not extended.
void MemberHealth::exclude_member(Seconds now, const Exclusion& exclusion,
                                  std::vector<Exclusion>& excluded) {
    MemberState& member = members_[exclusion.member];
    if (now >= member.excluded_until) {
        member.excluded_until = now + cooldown_;
        excluded.push_back(exclusion);
    }
}

bool MemberHealth::is_healthy(Seconds now, const Name& name) const {
    const auto it = members_.find(name);
    if (it == members_.end()) {
        return false;
    }
    const MemberState& member = it->second;
    return member.present && member.report && member.report->disk_works &&
           now < member.reported_at + kMaxReplicaReportAge && now >= member.excluded_until;
}

bool MemberHealth::is_placement_candidate(Seconds now, const Name& name) const {
    const auto it = members_.find(name);
    if (it == members_.end() || removed_members_.contains(name)) {
        return false;
    }
    const MemberState& member = it->second;
    if (now < member.excluded_until || (member.report && !member.report->disk_works)) {
        return false;
    }
    if (member.present) {
        return member.report.has_value() || now < lease_acquired_at_ + kMaxReplicaReportAge;
    }
    return now < std::max(member.presence_changed_at, lease_acquired_at_) + absence_limit_;
}

bool MemberHealth::is_unavailable(Seconds now, ShardId shard_id, const Name& name) const {
    return is_unreachable_or_lost(now, shard_id, name) ||
           (is_excluded(now, name) && !is_exempt_from_exclusion(now, shard_id, name));
}

bool MemberHealth::is_unreachable_or_lost(Seconds now, ShardId shard_id, const Name& name) const {
    if (is_lost(name, shard_id)) {
        return true;
    }
    const auto it = members_.find(name);
    // A new lease holder may not know the member yet, which is no sign of a failure.
    if (it == members_.end()) {
        return now > lease_acquired_at_ + absence_limit_;
    }
    const MemberState& member = it->second;
    return !member.present || (member.report && !member.report->disk_works);
}

bool MemberHealth::is_excluded(Seconds now, const Name& name) const {
    const auto it = members_.find(name);
    return it != members_.end() && now < it->second.excluded_until;
}

// Whether the member counts for the shard although it is excluded: all reachable replicas are
// excluded, and it is the first of them.
bool MemberHealth::is_exempt_from_exclusion(Seconds now, ShardId shard_id, const Name& name) const {
    if (shard_id.value >= replicas_.size()) {
        return false;
    }
    const Name* first = nullptr;
    for (const Name& replica : replicas_[shard_id.value]) {
        if (is_unreachable_or_lost(now, shard_id, replica)) {
            continue;
        }
        if (!is_excluded(now, replica)) {
            return false;
        }
        first = first ? first : &replica;
    }
    return first && *first == name;
}

bool MemberHealth::is_confirmed(Seconds now, ShardId shard_id, const Name& name) const {
    const auto it = members_.find(name);
    return !is_unavailable(now, shard_id, name) && it != members_.end() && it->second.report &&
           it->second.report->table_version == table_version_ &&
           now < it->second.reported_at + kMaxReplicaReportAge;
}

bool MemberHealth::is_lost(const Name& name, ShardId shard_id) const {
    if (removed_members_.contains(name)) {
        return true;
    }
    const auto disk = disks_.find(name);
    const auto it = members_.find(name);
    if (disk == disks_.end() || it == members_.end() || !it->second.report) {
        return false;
    }
    const ReplicaReport& report = *it->second.report;
    return report.disk != disk->second || std::find(report.corrupt.begin(), report.corrupt.end(),
                                                    shard_id) != report.corrupt.end();
}

}  // namespace tideline::replication
