// Reports of the primaries about their shards under the newest table.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "replication/types.hpp"

namespace tideline::replication {

// The reports are valid for one version of the table: the owner clears them with each new table.
// Single-threaded; neither does I/O nor reads a clock.
class PrimaryReports {
  public:
    // Adds the report of `sender` about the shards whose primary it is in `table`. Ignores a report
    // made under another version of the table, and shards of other primaries.
    void add(Seconds now, const Name& sender, const ReplicaReport& report,
             const ReplicaTable& table);
    void clear();

    // Whether the member has caught up on the shard, and the primary's writes wait for it.
    bool is_caught_up(ShardId shard_id, const Name& name) const;
    // Returns when the primary last reported that the member does not acknowledge.
    std::optional<Seconds> lagging_at(ShardId shard_id, const Name& name) const;
    // Whether all records that were lost with the shard's former replicas have expired.
    bool is_data_loss_over(ShardId shard_id) const;

  private:
    // Pairs of a shard and a member that has caught up and may become its replica.
    std::set<std::pair<ShardId, Name>> caught_up_;
    // Time of the newest report, by shard and member.
    std::map<std::pair<ShardId, Name>, Seconds> lagging_;
    // Shards with a data loss in the table whose lost records have expired.
    std::set<ShardId> data_loss_over_;
};

}  // namespace tideline::replication
