// Checks the complete record of a fault test with planners and lease holders.

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "fault_tests/planner_cluster.hpp"
#include "fault_tests/violations.hpp"

namespace tideline::fault_tests {

namespace {

// Each fencing token has one holder, and no action takes effect after an action under a higher
// token.
void check_tokens(const PlannerCluster& cluster, Violations& violations) {
    std::map<std::uint64_t, std::string> holders;
    std::uint64_t highest = 0;
    for (const TaskAction& action : cluster.actions) {
        const auto [it, inserted] = holders.try_emplace(action.fencing_token, action.holder);
        if (it->second != action.holder) {
            violations.add(fmt::format("token {} was used by both {} and {}", action.fencing_token,
                                       it->second, action.holder));
        }
        if (!action.accepted) {
            continue;
        }
        if (action.fencing_token < highest) {
            violations.add(
                fmt::format("an action of {} under token {} took effect after one under token {}",
                            action.holder, action.fencing_token, highest));
        }
        highest = std::max(highest, action.fencing_token);
    }
}

// No guard allows an action after another guard allowed one under a higher token. This holds by the
// clocks alone, whatever the target rejects. Each guard's check happened between two readings of
// the clock; only checks whose order is certain count as violations.
void check_guards(const PlannerCluster& cluster, Violations& violations) {
    std::vector<const TaskAction*> by_guard;
    for (const TaskAction& action : cluster.actions) {
        by_guard.push_back(&action);
    }
    std::sort(by_guard.begin(), by_guard.end(),
              [](auto* a, auto* b) { return a->checked_before < b->checked_before; });
    // The actions whose token is the highest so far, with the times from which they count.
    std::vector<std::pair<Seconds, const TaskAction*>> highest;
    for (const TaskAction* action : by_guard) {
        if (highest.empty() || action->fencing_token > highest.back().second->fencing_token) {
            highest.emplace_back(action->checked_before, action);
        }
    }
    for (const TaskAction* action : by_guard) {
        const auto later = std::partition_point(highest.begin(), highest.end(), [&](auto& each) {
            return each.first < action->checked_after;
        });
        if (later == highest.begin()) {
            continue;
        }
        const TaskAction* other = std::prev(later)->second;
        if (other->fencing_token > action->fencing_token) {
            violations.add(
                fmt::format("the guard of {} allowed an action under token {}, {:.3f} s after that "
                            "of {} allowed one under token {}",
                            action->holder, action->fencing_token,
                            action->checked_after - other->checked_before, other->holder,
                            other->fencing_token));
        }
    }
}

}  // namespace

std::vector<std::string> violations_of(const PlannerCluster& cluster) {
    Violations violations;
    check_tokens(cluster, violations);
    check_guards(cluster, violations);
    for (const auto& [node, status] : cluster.ended) {
        violations.add(fmt::format("{} exited with status {}", cluster.name_of(node), status));
    }
    for (int i = 1; i <= cluster.options.planners + cluster.options.holders; ++i) {
        violations.add_crashes(cluster.name_of(i), cluster.log_of(i));
    }
    return violations.lines();
}

}  // namespace tideline::fault_tests
