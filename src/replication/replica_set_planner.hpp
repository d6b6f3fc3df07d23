// Plans the next table of replica sets from the present table and the state of the members.
#pragma once

#include <map>
#include <vector>

#include "replication/member_health.hpp"
#include "replication/primary_reports.hpp"
#include "replication/repair_settings.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// Computes one table for one point in time. It has no state of its own and does not change its
// inputs, which have to outlive it. The same inputs give the same table. Single-threaded; neither
// does I/O nor reads a clock.
class ReplicaSetPlanner {
  public:
    // `table` is the newest table; `now` is in seconds.
    ReplicaSetPlanner(const RepairSettings& settings, const ReplicaTable& table,
                      const MemberHealth& member_health, const PrimaryReports& primary_reports,
                      Seconds now);
    ReplicaSetPlanner(const ReplicaSetPlanner&) = delete;
    ReplicaSetPlanner& operator=(const ReplicaSetPlanner&) = delete;
    ~ReplicaSetPlanner() = default;

    // Returns the table that should follow, with the next version. If nothing has to change, it
    // differs from the present table only in its version. It has no shards while too few members
    // are known for a first table.
    ReplicaTable next_table() const;

  private:
    // Members that may hold replicas, with their places.
    struct Candidates {
        std::map<Name, Place> eligible;  // present, or absent for less than the absence limit
        std::map<Name, Place> healthy;   // present, with a recent report
    };
    // A shard that lacks a replica on a member of its ideal replica set.
    struct MissingReplica {
        std::size_t available = 0;  // number of available replicas
        ShardId shard_id;
        std::vector<Name> ideal;
    };

    Candidates find_candidates() const;
    void plan_replica_set(ShardId shard_id, ReplicaTable& next, const Candidates& candidates,
                          std::vector<MissingReplica>& missing) const;
    void promote_caught_up(ShardId shard_id, ReplicaSet& replica_set) const;
    void replace_lost_replicas(ReplicaSet& replica_set, const std::vector<Name>& ideal,
                               TableVersion next_version) const;
    void choose_replicas(ShardId shard_id, ReplicaSet& replica_set,
                         const std::vector<Name>& available, const std::vector<Name>& kept) const;
    void clear_ended_data_loss(ShardId shard_id, ReplicaSet& replica_set) const;
    void reduce_to_ideal(ShardId shard_id, ReplicaSet& replica_set,
                         const std::vector<Name>& ideal) const;
    void start_moves(ReplicaTable& next, std::vector<MissingReplica> missing) const;
    void set_changed_versions(ReplicaTable& next) const;
    void adopt_disks(ReplicaTable& next) const;
    void place_first_table(ReplicaTable& table) const;
    bool is_unavailable(ShardId shard_id, const Name& name) const;
    bool is_healthy(const Name& name) const;

    const RepairSettings& settings_;
    const ReplicaTable& table_;
    const MemberHealth& member_health_;
    const PrimaryReports& primary_reports_;
    const Seconds now_;
};

}  // namespace tideline::replication
