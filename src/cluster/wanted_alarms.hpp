// The changes of alarms that a lease holder wants the planners to commit.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lease/types.hpp"

namespace tideline::cluster {

// The wanted state of an alarm. `text` is empty if the alarm is to be cleared.
struct AlarmChange {
    lease::LeaseName lease;
    std::string key;
    bool raised = false;
    std::string text;
    bool operator==(const AlarmChange&) const = default;
};

// Keeps the newest change of each alarm until the planners have committed it. At most one change of
// an alarm is in flight. Not thread-safe. Performs no I/O and reads no clock: times are in seconds.
class WantedAlarms {
  public:
    // Replaces a change of the same alarm that is not committed yet.
    void want(const AlarmChange& change);
    // Returns the changes that are to be sent now, which are in flight from then on.
    std::vector<AlarmChange> take_due(Seconds now);
    // Handles the planners' answer to the change of this alarm that is in flight.
    void on_answer(Seconds now, const lease::LeaseName& lease, const std::string& key,
                   bool committed);
    // Drops the changes of a lost lease, whose alarms are managed by the next holder.
    void forget(const lease::LeaseName& lease);
    // Returns when take_due() is to be called next; infinite if no change is waiting.
    Seconds due() const;

  private:
    struct Wanted {
        AlarmChange newest;
        // The change that was sent last, not answered yet.
        AlarmChange sent;
        bool under_way = false;
        // When the newest change is to be sent, or sent again.
        Seconds due_at = 0;
    };
    std::map<std::pair<lease::LeaseName, std::string>, Wanted> wanted_;
};

}  // namespace tideline::cluster
