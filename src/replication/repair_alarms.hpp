// Incident alarms of the whole fleet on the state of its shards.
#pragma once

#include <map>
#include <string>

#include "replication/repair_coordinator_host.hpp"
#include "replication/replication_status.hpp"

namespace tideline::replication {

// Raises an alarm when its count of shards becomes positive, and clears it when the count is zero.
// A text whose figures changed is told again after a while. One thread; no I/O, no clock: each call
// carries the time in seconds.
class RepairAlarms {
  public:
    // `table` is the one that `status` was counted from.
    void update(Seconds now, const ReplicationStatus& status, const ReplicaTable& table,
                RepairCoordinatorHost& host);
    // Forgets what was told, as by a former lease holder: the next update raises or clears each
    // alarm, also those that the former holder left raised.
    void reset();

  private:
    // What the planners were told of an alarm last.
    struct ReportedAlarm {
        bool raised = false;
        std::string text;
        Seconds at = 0;
    };
    void set(Seconds now, const std::string& key, std::size_t count, const std::string& text,
             RepairCoordinatorHost& host);

    // By key; none after a reset.
    std::map<std::string, ReportedAlarm> reported_alarms_;
};

}  // namespace tideline::replication
