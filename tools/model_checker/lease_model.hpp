// Model of planners and leases: three planners and two members. Messages arrive in any order, twice
// or never; disks lose what was not stored; nodes crash; a disk is wiped; and the clocks drift
// apart.
#pragma once

#include <string>
#include <vector>

#include "model_checker/search.hpp"

namespace tideline::model_checker {

// How often each kind of event that is not a delivery may happen in one order of events.
struct LeaseEventLimits {
    int elections = 0;
    int heartbeats = 0;
    int crashes = 0;
    int wipes = 0;
    int time_steps = 0;
    int redeliveries = 0;   // deliveries of a message that stays in flight
    int lease_changes = 0;  // changes of whether a member wants the lease
    int candidates = 3;     // how many planners, from the first, may start an election
};

// The state from which a search starts and the events that may follow.
struct LeaseScenario {
    std::string name;
    std::string description;
    std::vector<std::string> setup;  // in the form that run_setup() reads
    LeaseEventLimits limits;
    int depth = 0;
    std::size_t max_entries_per_message = 128;  // Raft log entries in one message
};

std::vector<LeaseScenario> lease_scenarios();
SearchResult search_leases(const LeaseScenario& scenario, int depth, std::size_t max_states);
// Replays a schedule from a file with one event per line. Returns whether all invariants hold;
// throws std::runtime_error if the file can't be read or an event is not possible.
bool replay(const std::string& path, std::size_t max_entries_per_message);

}  // namespace tideline::model_checker
