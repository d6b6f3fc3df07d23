// PlannerWorld: the invariants that are checked after each event.

#include <fmt/format.h>

#include "planner_world/world.hpp"

namespace tideline::simulation {
namespace {

using raft::LogIndex;

constexpr std::size_t kMaxRemembered = 4096;  // entries of each map of earlier observations

// Erases the entries with the lowest keys.
template <class Map>
void limit_size(Map& map) {
    while (map.size() > kMaxRemembered) {
        map.erase(map.begin());
    }
}

}  // namespace

void PlannerWorld::check() {
    if (!fault_.empty()) {
        return;
    }
    check_single_holder();
    for (int i = 0; i < settings_.planners && fault_.empty(); ++i) {
        check_planner(i);
    }
    if (fault_.empty()) {
        forget_oldest();
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
            return fail(fmt::format(
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
    const raft::Raft& log = core->raft();
    if (log.is_leader()) {
        const auto leader = leaders_.try_emplace(log.term(), log.self()).first;
        if (leader->second != log.self()) {
            return fail(fmt::format("two leaders in term {}", log.term().value));
        }
    }
    if (!check_committed_entries(planner)) {
        return;
    }
    const auto [applied, is_new] =
        applied_fingerprints_.try_emplace(log.last_applied(), core->leases().fingerprint());
    if (!is_new && applied->second != core->leases().fingerprint()) {
        fail(fmt::format("{}: applying the log up to entry {} gave another state than before",
                         name_of(planner), log.last_applied().value));
    }
}

// Compares the committed entries with those observed earlier, from the newest entry back to the
// first one that is already known. Returns false after a violation.
bool PlannerWorld::check_committed_entries(int planner) {
    const raft::Raft& log = planner_core(planner)->raft();
    for (LogIndex at = log.commit_index(); at > log.snapshot_index(); --at.value) {
        const auto* entry = log.entry(at);
        const std::string text = fmt::format("{}.{}.{}", entry->term.value,
                                             static_cast<int>(entry->kind), entry->command);
        const auto [known, is_new] = committed_entries_.try_emplace(at, text);
        if (known->second != text) {
            fail(fmt::format("{}: entry {} differs from the committed one", name_of(planner),
                             at.value));
            return false;
        }
        if (!is_new) {
            break;
        }
    }
    return true;
}

// Bounds the memory that the observations occupy.
void PlannerWorld::forget_oldest() {
    limit_size(committed_entries_);
    limit_size(applied_fingerprints_);
    limit_size(leaders_);
}

}  // namespace tideline::simulation
