// A model of planners and leases: three planners, two members, messages that arrive in any order,
// twice or never, disks that lose what was not stored, crashes, a wiped disk, clocks that run
// apart.
#pragma once

#include <string>
#include <vector>

#include "model_checker/search.hpp"

namespace tideline::model_checker {

// How often each of the events that are not deliveries may happen in one order.
struct LeaseEventLimits {
    int elections = 0;
    int heartbeats = 0;
    int crashes = 0;
    int wipes = 0;
    int time_steps = 0;
    int redeliveries = 0;   // deliveries of a message that stays in flight
    int lease_changes = 0;  // of whether a member wants the lease
    int candidates = 3;     // how many planners, from the first, may start an election
};

// Where a search begins and which events may follow.
struct LeaseScenario {
    std::string name;
    std::string description;
    std::vector<std::string> setup;  // as run_setup takes it
    LeaseEventLimits limits;
    int depth = 0;
    std::size_t max_entries_per_message = 128;  // Raft log entries in one message
};

std::vector<LeaseScenario> lease_scenarios();
SearchResult search_leases(const LeaseScenario& scenario, int depth, std::size_t max_states);
// Replays a schedule from a file, one event a line. True if all invariants hold; throws
// std::runtime_error if the file can't be read or an event is not possible.
bool replay(const std::string& path, std::size_t max_entries_per_message);

}  // namespace tideline::model_checker
