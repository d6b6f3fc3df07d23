// Settings of the repair coordinator and of the planner of replica sets.
#pragma once

#include <cstddef>

#include "replication/types.hpp"

namespace tideline::replication {

struct RepairSettings {
    std::size_t shards = 256;       // of the first table; later tables have as many
    std::size_t replicas = 2;       // of each shard, in different places
    std::size_t min_replicas = 2;   // with fewer nothing is acknowledged; at most `replicas`
    Seconds absence_limit = 30;     // a member that is gone for longer is replaced
    Seconds cooldown = 10;          // a member that did not acknowledge is excluded for so long
    Seconds report_interval = 0.5;  // interval of asking for reports
    std::size_t max_moves = 16;     // shards that catch up at once
    bool operator==(const RepairSettings&) const = default;
};

// Age limit of a report in seconds: an older one does not tell how its member is now. After the
// lease was acquired, members have so long to send the first report.
inline constexpr Seconds kMaxReplicaReportAge = 3;

}  // namespace tideline::replication
