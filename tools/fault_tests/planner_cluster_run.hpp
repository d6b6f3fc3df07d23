// One scenario with planners and lease holders: the cluster, its violations and its measurements.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fault_tests/planner_cluster.hpp"

namespace tideline::fault_tests {

// After all faults are undone the lease has a holder again within this time.
constexpr Seconds kRecoveryTimeout = 15;
// The leader waits this long after the last renewal before it grants the lease to another holder:
// the lease's duration, extended for the clocks' drift.
constexpr Seconds kGrantorWaitDuration =
    kLeaseDuration * (1 + kMaxClockDrift) / (1 - kMaxClockDrift);
// The exit status of a planner after a fatal error, such as a failed disk.
constexpr int kExitFatal = 3;

// Passed to the function that injects the scenario's faults. Violations and measured figures are
// printed afterwards.
struct PlannerClusterRun {
    explicit PlannerClusterRun(const PlannerClusterOptions& options) : cluster(loop, options) {}
    net::EventLoop loop;
    PlannerCluster cluster;
    std::vector<std::string> violations;
    std::vector<std::pair<std::string, double>> figures;

    // Adds the violation unless `holds`.
    void expect(bool holds, const std::string& violation) {
        if (!holds) {
            violations.push_back(violation);
        }
    }
    void apply(const std::string& action, std::vector<double> arguments = {}) {
        cluster.apply({0, action, std::move(arguments)});
    }
    void set_disk_fault(int node, DiskFault fault) {
        apply("disk", {static_cast<double>(node), static_cast<double>(fault)});
    }
    const TaskAction* newest_action() const {
        return cluster.actions.empty() ? nullptr : &cluster.actions.back();
    }
    // Waits up to 2 s for an action and returns the node that acted; 0 if none did.
    int wait_for_holder() {
        const std::size_t from = cluster.actions.size();
        cluster.run_until(2, [&] { return cluster.actions.size() > from; });
        return cluster.actions.size() > from ? cluster.node_of(newest_action()->holder) : 0;
    }
    // Waits until a holder other than `previous` acts, and returns the time since `from`. If none
    // does, adds a violation and returns -1.
    Seconds wait_for_another_holder(const std::string& previous, Seconds from,
                                    Seconds timeout = 15) {
        std::size_t checked = cluster.actions.size();
        Seconds acted_at = -1;
        cluster.run_until(timeout, [&] {
            for (; checked < cluster.actions.size() && acted_at < 0; ++checked) {
                if (cluster.actions[checked].holder != previous) {
                    acted_at = cluster.actions[checked].arrived_at;
                }
            }
            return acted_at >= 0;
        });
        expect(acted_at >= 0, "no other holder acts after " + previous);
        return acted_at < 0 ? -1 : acted_at - from;
    }
    // Waits for an action of any holder; returns false if none arrives within `timeout`.
    bool wait_for_action(Seconds timeout) {
        const std::size_t from = cluster.actions.size();
        return cluster.run_until(timeout, [&] { return cluster.actions.size() > from; });
    }
    // Waits until the node's log contains `text`; returns false if it does not within `timeout`.
    bool wait_for_log_text(int node, const std::string& text, Seconds timeout = 8) {
        return cluster.run_until(
            timeout, [&] { return cluster.log_of(node).find(text) != std::string::npos; });
    }
    // Waits until the node exits and returns its exit status; nothing if it does not within
    // `timeout`.
    std::optional<int> wait_for_exit(int node, Seconds timeout = 8) {
        cluster.run_until(
            timeout, [&] { return !cluster.processes[static_cast<std::size_t>(node)]->runs(); });
        return cluster.processes[static_cast<std::size_t>(node)]->ended();
    }
    void add_figure(const std::string& name, double value) {
        figures.emplace_back(name, value);
    }
    // Returns the longest time between two consecutive actions, from the action with index `from`
    // on.
    Seconds longest_gap(std::size_t from) const {
        Seconds longest = 0;
        for (std::size_t i = std::max<std::size_t>(1, from); i < cluster.actions.size(); ++i) {
            longest = std::max(longest,
                               cluster.actions[i].arrived_at - cluster.actions[i - 1].arrived_at);
        }
        return longest;
    }
};

}  // namespace tideline::fault_tests
