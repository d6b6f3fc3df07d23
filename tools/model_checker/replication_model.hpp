// Model of replication: three members, one shard, one key and two clients. Messages arrive in any
// order, twice or never; disks lose what was not stored; nodes crash; disks are wiped; and the
// replica table changes meanwhile as the production repair coordinator proposes.
#pragma once

#include <string>
#include <vector>

#include "model_checker/search.hpp"

namespace tideline::model_checker {

// How often each kind of event that is not a delivery may happen in one order of events.
struct ReplicationEventLimits {
    int requests = 0;
    int crashes = 0;
    int wipes = 0;
    int redeliveries = 0;      // deliveries of a message that stays in flight
    int plans = 0;             // planning runs of the repair coordinator
    int false_suspicions = 0;  // a member regards one that is up as gone
    int lost_attempts = 0;
    int time_steps = 0;
};

// The state from which a search starts and the events that may follow.
struct ReplicationScenario {
    std::string name;
    std::string description;
    int replicas = 2;
    std::vector<std::string> setup;  // in the form that run_setup() reads
    ReplicationEventLimits limits;
    int depth = 0;
};

std::vector<ReplicationScenario> replication_scenarios();
SearchResult search_replication(const ReplicationScenario& scenario, int depth,
                                std::size_t max_states);

}  // namespace tideline::model_checker
