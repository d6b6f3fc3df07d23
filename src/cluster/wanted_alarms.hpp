// The alarms that a lease holder wants to be raised or cleared at the planners.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "lease/types.hpp"

namespace tideline::cluster {

// An alarm as it is to be. `text` is empty where it is to be cleared.
struct AlarmChange {
    lease::LeaseName lease;
    std::string key;
    bool raised = false;
    std::string text;
    bool operator==(const AlarmChange&) const = default;
};

// Keeps the newest change of each alarm until the planners have committed it. At most one change of
// an alarm is under way. One thread; no I/O, no clock: times are in seconds.
class WantedAlarms {
  public:
    // Replaces a change of the same alarm that is not committed yet.
    void want(const AlarmChange& change);
    // The changes that are to be sent now; they are under way from then on.
    std::vector<AlarmChange> take_due(Seconds now);
    // The planners have answered the change of this alarm that is under way.
    void on_answer(Seconds now, const lease::LeaseName& lease, const std::string& key,
                   bool committed);
    // The lease is lost: its alarms are the next holder's.
    void forget(const lease::LeaseName& lease);
    // When take_due is to be called next; infinite while nothing waits.
    Seconds due() const;

  private:
    struct Wanted {
        AlarmChange newest;
        // What was sent last, and is not answered.
        AlarmChange sent;
        bool under_way = false;
        // It is sent, or sent again, from then on.
        Seconds due_at = 0;
    };
    std::map<std::pair<lease::LeaseName, std::string>, Wanted> wanted_;
};

}  // namespace tideline::cluster
