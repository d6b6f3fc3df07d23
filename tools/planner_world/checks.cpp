// PlannerWorld: the invariants that are checked after each event.

#include <fmt/format.h>

#include "planner_world/world.hpp"

namespace tideline::simulation {
namespace {

using raft::LogIndex;

constexpr std::size_t kMaxObservations = 4096;  // entries of each map of earlier observations

// Erases the entries with the lowest keys.
template <class Map>
void erase_oldest(Map& map) {
    while (map.size() > kMaxObservations) {
        map.erase(map.begin());
    }
}

}  // namespace

void PlannerWorld::check_invariants() {
    if (!fault_.empty()) {
        return;
    }
    check_single_holder();
    for (int i = 0; i < settings_.planners && fault_.empty(); ++i) {
        check_planner(i);
    }
    if (fault_.empty()) {
        limit_observations();
    }
}

// Invariant: at most one member may act at any time.
void PlannerWorld::check_single_holder() {
    int holder = -1;
    for (int i = settings_.planners; i < nodes(); ++i) {
        if (!may_act(i)) {
            continue;
        }
        if (holder >= 0) {
            return record_violation(fmt::format(
                "{} may act under fencing token {} and {} under fencing token {}", name_of(holder),
                token_of(holder).value, name_of(i), token_of(i).value));
        }
        holder = i;
    }
}

// Invariants: a term has at most one leader, a committed entry never changes, and every planner
// reaches the same state by applying the same entries.
void PlannerWorld::check_planner(int planner) {
    const planner::PlannerCore* core = planner_core(planner);
    if (!core) {
        return;
    }
    const raft::Raft& raft_core = core->raft();
    if (raft_core.is_leader()) {
        const auto leader = leader_by_term_.try_emplace(raft_core.term(), raft_core.self()).first;
        if (leader->second != raft_core.self()) {
            return record_violation(fmt::format("two leaders in term {}", raft_core.term().value));
        }
    }
    if (!check_committed_entries(planner)) {
        return;
    }
    const auto [applied, is_new] =
        applied_fingerprints_.try_emplace(raft_core.last_applied(), core->leases().fingerprint());
    if (!is_new && applied->second != core->leases().fingerprint()) {
        record_violation(
            fmt::format("{}: applying the log up to entry {} gave another state than before",
                        name_of(planner), raft_core.last_applied().value));
    }
}

// Compares the committed entries with those observed earlier, from the newest entry back to the
// first one that is already known. Returns false after a violation.
bool PlannerWorld::check_committed_entries(int planner) {
    const raft::Raft& raft_core = planner_core(planner)->raft();
    for (LogIndex log_index = raft_core.commit_index(); log_index > raft_core.snapshot_index();
         --log_index.value) {
        const auto* entry = raft_core.entry(log_index);
        const std::string text = fmt::format("{}.{}.{}", entry->term.value,
                                             static_cast<int>(entry->kind), entry->command);
        const auto [known, is_new] = committed_entries_.try_emplace(log_index, text);
        if (known->second != text) {
            record_violation(fmt::format("{}: entry {} differs from the committed one",
                                         name_of(planner), log_index.value));
            return false;
        }
        if (!is_new) {
            break;
        }
    }
    return true;
}

// Bounds the memory that the observations occupy.
void PlannerWorld::limit_observations() {
    erase_oldest(committed_entries_);
    erase_oldest(applied_fingerprints_);
    erase_oldest(leader_by_term_);
}

}  // namespace tideline::simulation
