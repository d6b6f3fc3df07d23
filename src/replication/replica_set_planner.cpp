#include "replication/replica_set_planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "replication/placement.hpp"

namespace tideline::replication {

ReplicaSetPlanner::ReplicaSetPlanner(const RepairSettings& settings, const ReplicaTable& table,
                                     const MemberHealth& member_health,
                                     const PrimaryReports& primary_reports, Seconds now)
    : settings_(settings),
      table_(table),
      member_health_(member_health),
      primary_reports_(primary_reports),
      now_(now) {}

ReplicaTable ReplicaSetPlanner::next_table() const {
    ReplicaTable next = table_;
    next.version.value += 1;
    next.replication_factor = settings_.replicas;
    next.min_replicas = std::min(settings_.min_replicas, settings_.replicas);
    if (next.shards.empty()) {
        place_first_table(next);
        return next;
    }
    const Candidates candidates = find_candidates();
    std::vector<MissingReplica> missing;
    for (std::uint32_t i = 0; i < next.shards.size(); ++i) {
        plan_replica_set(ShardId{i}, next, candidates, missing);
    }
    start_moves(next, std::move(missing));
    set_changed_versions(next);
    adopt_disks(next);
    next.removed_members = member_health_.removed_members();
    return next;
}

ReplicaSetPlanner::Candidates ReplicaSetPlanner::find_candidates() const {
    Candidates candidates;
    for (const auto& [name, member] : member_health_.members()) {
        if (member_health_.is_placement_candidate(now_, name)) {
            candidates.eligible[name] = member.place;
        }
        if (is_healthy(name)) {
            candidates.healthy[name] = member.place;
        }
    }
    return candidates;
}

// Plans one replica set of `next`. Adds the shard to `missing` if a member of its ideal replica set
// does not hold it and no member is catching up.
void ReplicaSetPlanner::plan_replica_set(ShardId shard_id, ReplicaTable& next,
                                         const Candidates& candidates,
                                         std::vector<MissingReplica>& missing) const {
    ReplicaSet& replica_set = next.shards[shard_id.value];
    promote_caught_up(shard_id, replica_set);
    std::vector<Name> available;
    std::vector<Name> kept;
    for (const Name& name : replica_set.replicas) {
        if (!is_unavailable(shard_id, name)) {
            available.push_back(name);
        }
        if (!member_health_.is_lost(name, shard_id)) {
            kept.push_back(name);
        }
    }
    const bool enough = available.size() >= settings_.min_replicas;
    const std::vector<Name> ideal = place_replicas(
        shard_id, enough ? candidates.eligible : candidates.healthy, settings_.replicas);
    if (kept.empty()) {
        replace_lost_replicas(replica_set, ideal, next.version);
    } else {
        choose_replicas(shard_id, replica_set, available, kept);
    }
    std::erase_if(replica_set.catching_up, [&](const Name& name) {
        return is_unavailable(shard_id, name) || replica_set.has_replica(name);
    });
    clear_ended_data_loss(shard_id, replica_set);
    const bool has_all = std::all_of(ideal.begin(), ideal.end(), [&](const Name& name) {
        return replica_set.has_replica(name);
    });
    if (has_all) {
        reduce_to_ideal(shard_id, replica_set, ideal);
    } else if (replica_set.catching_up.empty()) {
        missing.push_back({available.size(), shard_id, ideal});
    }
}

// Promotes members to replicas that have caught up according to the primary. The primary's writes
// have been waiting for them since it reported that.
void ReplicaSetPlanner::promote_caught_up(ShardId shard_id, ReplicaSet& replica_set) const {
    for (const Name& name : std::vector<Name>(replica_set.catching_up)) {
        if (primary_reports_.is_caught_up(shard_id, name) && !is_unavailable(shard_id, name)) {
            replica_set.replicas.push_back(name);
            std::erase(replica_set.catching_up, name);
        }
    }
}

// Handles the loss of all replicas: the healthy members of the ideal set start without records, and
// the table records the data loss. Changes nothing while none of them is healthy.
void ReplicaSetPlanner::replace_lost_replicas(ReplicaSet& replica_set,
                                              const std::vector<Name>& ideal,
                                              TableVersion next_version) const {
    std::vector<Name> replacements;
    for (const Name& name : ideal) {
        if (is_healthy(name)) {
            replacements.push_back(name);
        }
    }
    if (!replacements.empty()) {
        replica_set.replicas = replacements;
        replica_set.catching_up.clear();
        replica_set.data_lost_in = next_version;
    }
}

// Keeps only the available replicas if they are at least the minimum, otherwise all that may still
// have the records (`kept`): a replica that is merely unreachable has every acknowledged write, and
// the reachable one may be lost next. An unavailable primary is replaced by a confirmed replica.
void ReplicaSetPlanner::choose_replicas(ShardId shard_id, ReplicaSet& replica_set,
                                        const std::vector<Name>& available,
                                        const std::vector<Name>& kept) const {
    const auto confirmed = [&](const Name& name) {
        return member_health_.is_confirmed(now_, shard_id, name);
    };
    const bool enough = available.size() >= settings_.min_replicas;
    replica_set.replicas =
        enough && std::any_of(available.begin(), available.end(), confirmed) ? available : kept;
    const auto primary =
        std::find_if(replica_set.replicas.begin(), replica_set.replicas.end(), confirmed);
    if (is_unavailable(shard_id, replica_set.primary()) && primary != replica_set.replicas.end()) {
        std::rotate(replica_set.replicas.begin(), primary, primary + 1);
    }
}

// Clears the data loss once the primary reports that the lost records have expired.
void ReplicaSetPlanner::clear_ended_data_loss(ShardId shard_id, ReplicaSet& replica_set) const {
    if (replica_set.data_lost_in > TableVersion{} && primary_reports_.is_data_loss_over(shard_id) &&
        replica_set.data_lost_in == table_.shards[shard_id.value].data_lost_in) {
        replica_set.data_lost_in = {};
    }
}

// Handles a shard of which all members of the ideal set are replicas: drops the other replicas and
// makes the first member of the ideal set the primary. Drops nothing while the ideal set is too
// small, because not all members may be known yet.
void ReplicaSetPlanner::reduce_to_ideal(ShardId shard_id, ReplicaSet& replica_set,
                                        const std::vector<Name>& ideal) const {
    if (ideal.size() >= settings_.replicas && replica_set.replicas.size() > settings_.replicas) {
        std::erase_if(replica_set.replicas, [&](const Name& name) {
            return std::find(ideal.begin(), ideal.end(), name) == ideal.end();
        });
        replica_set.catching_up.clear();
    }
    if (!ideal.empty() && replica_set.replicas.size() == ideal.size() &&
        replica_set.primary() != ideal.front() && !is_unavailable(shard_id, ideal.front())) {
        std::iter_swap(
            replica_set.replicas.begin(),
            std::find(replica_set.replicas.begin(), replica_set.replicas.end(), ideal.front()));
    }
}

// Lets members start to catch up, beginning with the shards that have the fewest available
// replicas. The settings limit the number of shards that catch up at once.
void ReplicaSetPlanner::start_moves(ReplicaTable& next, std::vector<MissingReplica> missing) const {
    std::size_t catching_up = 0;
    for (const ReplicaSet& replica_set : table_.shards) {
        if (!replica_set.catching_up.empty()) {
            ++catching_up;
        }
    }
    std::sort(missing.begin(), missing.end(), [](const MissingReplica& a, const MissingReplica& b) {
        return std::tie(a.available, a.shard_id) < std::tie(b.available, b.shard_id);
    });
    for (const MissingReplica& each : missing) {
        if (catching_up >= settings_.max_moves) {
            return;
        }
        ReplicaSet& replica_set = next.shards[each.shard_id.value];
        if (is_unavailable(each.shard_id, replica_set.primary())) {
            continue;
        }
        for (const Name& name : each.ideal) {
            if (!replica_set.has_replica(name) && is_healthy(name) &&
                !is_unavailable(each.shard_id, name)) {
                replica_set.catching_up.push_back(name);
                ++catching_up;
                break;
            }
        }
    }
}

// Sets the version of each changed replica set to that of the new table.
void ReplicaSetPlanner::set_changed_versions(ReplicaTable& next) const {
    for (std::size_t i = 0; i < next.shards.size(); ++i) {
        ReplicaSet& after = next.shards[i];
        const ReplicaSet& before = table_.shards[i];
        if (after.replicas != before.replicas || after.catching_up != before.catching_up ||
            after.data_lost_in > before.data_lost_in) {
            after.since_table = next.version;
        }
    }
}

// Records the disk of each present member if no shard depends on the member's former disk. A shard
// that loses its data in this table depends on no former disk.
void ReplicaSetPlanner::adopt_disks(ReplicaTable& next) const {
    for (const auto& [name, member] : member_health_.members()) {
        if (!member.report || !member.present) {
            continue;
        }
        const Name& holder = name;
        const bool assigned =
            std::any_of(next.shards.begin(), next.shards.end(), [&](const ReplicaSet& replica_set) {
                return replica_set.data_lost_in != next.version &&
                       (replica_set.has_replica(holder) || replica_set.is_catching_up(holder));
            });
        if (!assigned) {
            next.disks[name] = member.report->disk;
        }
    }
}

// Assigns all shards for the first time, once the members have had time to report and enough of
// them are healthy.
void ReplicaSetPlanner::place_first_table(ReplicaTable& table) const {
    std::map<Name, Place> places;
    for (const auto& [name, member] : member_health_.members()) {
        if (is_healthy(name)) {
            places[name] = member.place;
            table.disks[name] = member.report->disk;
        }
    }
    const auto& members = member_health_.members();
    const bool all_reported = std::all_of(members.begin(), members.end(), [](const auto& each) {
        return !each.second.present || each.second.report;
    });
    const Seconds wait = all_reported ? kMaxReplicaReportAge : 2 * kMaxReplicaReportAge;
    if (places.size() < settings_.replicas || now_ < member_health_.lease_acquired_at() + wait) {
        return;
    }
    table.shards.resize(settings_.shards);
    for (std::uint32_t i = 0; i < settings_.shards; ++i) {
        table.shards[i].replicas = place_replicas(ShardId{i}, places, settings_.replicas);
        table.shards[i].since_table = table.version;
    }
}

bool ReplicaSetPlanner::is_unavailable(ShardId shard_id, const Name& name) const {
    return member_health_.is_unavailable(now_, shard_id, name);
}

bool ReplicaSetPlanner::is_healthy(const Name& name) const {
    return member_health_.is_healthy(now_, name);
}

}  // namespace tideline::replication
