// The scenarios of the lease model.

#include <utility>

#include "model_checker/lease_model.hpp"

namespace tideline::model_checker {
namespace {

// Figure 8 of the Raft paper with three planners: the leader of term 4 replicates an entry of term
// 2 to a majority, and a planner whose log has an entry of term 3 at the same index is elected in
// term 5.
std::vector<std::string> overwritten_entry_setup() {
    return {"p1 starts an election",
            "p1 has stored",
            "p1 to p2: requests a vote in term 2",
            "p2 has stored",
            "p2 to p1: votes in term 2",
            "p1 has stored",
            "p1 crashes",
            "p2 starts an election",
            "p2 has stored",
            "p2 to p3: requests a vote in term 3",
            "p3 has stored",
            "p3 to p2: votes in term 3",
            "p2 has stored",
            "p2 crashes",
            "p1 starts",
            "p1 starts an election",
            "p1 has stored",
            "p1 to p3: requests a vote in term 3",
            "p3 to p1: does not vote in term 3",
            "p1 starts an election",
            "p1 has stored",
            "p1 to p3: requests a vote in term 4",
            "p3 has stored",
            "p3 to p1: votes in term 4",
            "p1 has stored",
            "p1 to p3: appends 1 entries from 3, committed 1, round 1 in term 4",
            "p3 to p1: log reaches 1 (mismatch), round 1 in term 4",
            "p1 to p3: appends 1 entries from 2, committed 1, round 1 in term 4",
            "p3 has stored",
            "p3 to p1: log reaches 2, round 1 in term 4",
            "p1 crashes",
            "p2 starts",
            "p2 starts an election",
            "p2 has stored",
            "p2 to p3: requests a vote in term 4",
            "p3 to p2: does not vote in term 4",
            "p2 starts an election",
            "p2 has stored",
            "p2 to p3: requests a vote in term 5",
            "p3 has stored",
            "p3 to p2: votes in term 5",
            "p2 has stored",
            "p2 to p3: appends 1 entries from 3, committed 1, round 1 in term 5",
            "p3 to p2: log reaches 1 (mismatch), round 1 in term 5",
            "p2 to p3: appends 1 entries from 2, committed 1, round 1 in term 5",
            "p3 has stored",
            "p3 to p2: log reaches 2, round 1 in term 5",
            "p2 to p3: appends 1 entries from 3, committed 1, round 1 in term 5"};
}

// Returns the setup with more events appended.
std::vector<std::string> append_events(std::vector<std::string> setup,
                                       const std::vector<std::string>& more) {
    setup.insert(setup.end(), more.begin(), more.end());
    return setup;
}

// p1 is the leader.
const std::vector<std::string> kLeaderElected{"p1 starts an election", "settle"};

// p1 is the leader, m3 holds the lease and m4 waits for it.
std::vector<std::string> lease_held_setup() {
    return append_events(kLeaderElected,
                         {"m3 wants the lease", "settle", "m4 wants the lease", "settle"});
}

// Scenarios of elections, grants and renewals.
std::vector<LeaseScenario> grant_scenarios() {
    const auto held = lease_held_setup();
    return {
        {"votes", "no planner leads", {}, {2, 0, 1, 0, 0, 0, 0, 2}, 12},
        {"elections",
         "no planner leads, each may start an election",
         {},
         {3, 0, 1, 0, 0, 1, 0, 3},
         8},
        {"grants",
         "p1 leads and both members want the lease",
         append_events(kLeaderElected, {"m3 wants the lease", "m4 wants the lease"}),
         {1, 0, 1, 0, 2, 0, 0, 2},
         9},
        {"holding", "m3 holds the lease under p1 and m4 waits", held, {1, 2, 0, 0, 5, 0, 1, 2}, 8},
        {"deposed",
         "p2 was elected and p1 does not know, m3 holds the lease under p1",
         append_events(held, {"p2 starts an election", "settle but p1 m3 m4"}),
         {0, 2, 0, 0, 5, 0, 0, 2},
         9},
        {"renewing",
         "m3 renews at p1 while p2 is elected and m4 waits",
         append_events(held, {"m3 renews", "p2 starts an election", "settle but p1 m3 m4"}),
         {0, 1, 0, 0, 5, 0, 0, 2},
         9},
        {"overdue",
         "m3 does not renew, and its lease is about to expire",
         append_events(held,
                       {"a step of time", "a step of time", "a step of time", "settle but m3"}),
         {0, 1, 0, 0, 2, 0, 0, 2},
         7},
    };
}

// Scenarios with crashes, late messages and stalled members.
std::vector<LeaseScenario> recovery_scenarios() {
    const auto held = lease_held_setup();
    const std::vector<std::string> four_time_steps(4, "a step of time");
    return {
        {"unstored",
         "p1 has stored a grant, and p2 has received it and not stored it",
         append_events(kLeaderElected,
                       {"m3 wants the lease", "settle but p1 p2 p3 >m3",
                        "m3 to p1: requests the lease, request 1", "p1 has stored",
                        "p1 to p2: appends 1 entries from 3, committed 2, round 1 in term 2"}),
         {1, 0, 1, 0, 0, 0, 0, 3},
         13},
        {"overtaken",
         "a majority has an entry of an old term, and a planner without it is elected",
         overwritten_entry_setup(),
         {1, 1, 0, 0, 0, 0, 0, 3},
         6,
         1},
        {"fence",
         "m3 has checked that it may act and is paused, m4 holds the lease meanwhile",
         append_events(append_events(held, {"m3 checks that it may act"}),
                       append_events(four_time_steps, {"settle but m3"})),
         {0, 1, 0, 0, 3, 0, 0, 2},
         8},
        {"late answer",
         "an answer to m3 is in flight until m4 holds the lease",
         append_events(append_events(held, {"m3 renews", "settle but >m3"}),
                       append_events(four_time_steps, {"settle but m3"})),
         {0, 1, 0, 0, 2, 0, 0, 2},
         7},
        {"wiped",
         "p1 and p3 have stored the grant to m3, then p3 lost its disk",
         append_events(
             {"p1 starts an election", "settle but p2", "m3 wants the lease", "settle but p2"},
             {"p3 crashes", "p3 is wiped", "p3 starts"}),
         {1, 0, 0, 0, 0, 0, 0, 3},
         10},
        {"late give-back",
         "m3 released the lease by a message that is in flight, and wants it again",
         append_events(held, {"m3 no longer wants the lease", "m3 wants the lease"}),
         {0, 1, 0, 0, 5, 0, 0, 2},
         8},
    };
}

}  // namespace

std::vector<LeaseScenario> lease_scenarios() {
    std::vector<LeaseScenario> scenarios = grant_scenarios();
    for (LeaseScenario& scenario : recovery_scenarios()) {
        scenarios.push_back(std::move(scenario));
    }
    return scenarios;
}

}  // namespace tideline::model_checker
