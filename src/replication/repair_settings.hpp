// Settings of the repair coordinator and of the planner of replica sets.
#pragma once

#include <cstddef>

#include "replication/types.hpp"

namespace tideline::replication {

struct RepairSettings {
    std::size_t shards = 256;       // number of shards, fixed by the first table
    std::size_t replicas = 2;       // desired replicas of each shard, in different places
    std::size_t min_replicas = 2;   // replicas needed to acknowledge a write; at most `replicas`
    Seconds absence_limit = 30;     // time after which an absent member is replaced
    Seconds cooldown = 10;          // duration of an exclusion
    Seconds report_interval = 0.5;  // interval between two requests for reports
    std::size_t max_moves = 16;     // most shards that catch up at the same time
    bool operator==(const RepairSettings&) const = default;
};

// Age limit of a report: an older one does not show the member's present state. Members also have
// this long to send their first report after the lease was acquired.
inline constexpr Seconds kMaxReplicaReportAge = 3;

}  // namespace tideline::replication
