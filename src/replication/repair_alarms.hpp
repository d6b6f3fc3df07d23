// Fleet-wide incident alarms about the state of the shards.
#pragma once

#include <map>
#include <string>

#include "replication/repair_coordinator_host.hpp"
#include "replication/replication_status.hpp"

namespace tideline::replication {

// Raises an alarm when its count of shards becomes positive, and clears it when the count returns
// to zero. Updates the text of a raised alarm when its figures change, with a minimum interval.
// Single-threaded; neither does I/O nor reads a clock: each call passes the time in seconds.
class RepairAlarms {
  public:
    // `table` is the table from which `status` was counted.
    void update(Seconds now, const ReplicationStatus& status, const ReplicaTable& table,
                RepairCoordinatorHost& host);
    // Forgets the state of all alarms, as after a change of the lease holder: the next update
    // raises or clears each alarm, including those that the former holder left raised.
    void reset();

  private:
    // The state of an alarm that was last sent to the planners.
    struct ReportedAlarm {
        bool raised = false;
        std::string text;
        Seconds at = 0;
    };
    void set_alarm(Seconds now, const std::string& key, std::size_t count, const std::string& text,
                   RepairCoordinatorHost& host);

    // By alarm key; empty after a reset.
    std::map<std::string, ReportedAlarm> reported_alarms_;
};

}  // namespace tideline::replication
