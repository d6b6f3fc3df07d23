// A fleet of sidecars with planners. For each leased task the planners grant one member the lease.
#pragma once

#include "fault_tests/planner_cluster.hpp"
#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

// Three planners and a sidecar cluster that uses them, without separate lease holders; collects the
// violations and measurements of a scenario.
struct Fleet {
    // `base` gives the sidecars' options except program, seed, keep_folder and planners.
    explicit Fleet(const PlannerClusterOptions& options,
                   const SidecarClusterOptions& base = default_sidecar_options())
        : planners(loop, planner_options(options)),
          sidecars(loop, sidecar_options(options, base, planners.addresses())) {}
    static SidecarClusterOptions default_sidecar_options() {
        SidecarClusterOptions all;
        all.members = 6;
        all.warm_up = 3;
        all.rate = 25;
        return all;
    }
    PlannerClusterOptions planner_options(PlannerClusterOptions options) const {
        options.planners = 3;
        options.holders = 0;
        options.first_host = 200;
        return options;
    }
    static SidecarClusterOptions sidecar_options(const PlannerClusterOptions& options,
                                                 SidecarClusterOptions all,
                                                 std::vector<std::string> planners) {
        all.program = options.program;
        all.seed = options.seed;
        all.keep_folder = true;
        all.planners = std::move(planners);
        return all;
    }
    net::EventLoop loop;
    PlannerCluster planners;
    SidecarCluster sidecars;
    std::vector<std::string> violations;
    std::vector<std::pair<std::string, double>> figures;

    // Adds the violation unless `holds`.
    void expect(bool holds, const std::string& violation) {
        if (!holds) {
            violations.push_back(violation);
        }
    }
    // Counts the occurrences of `text` in the logs of all members.
    int count_in_logs(const std::string& text) const {
        int count = 0;
        for (int i = 1; i <= sidecars.options.members; ++i) {
            const std::string log = sidecars.log_of(i);
            for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
                ++count;
            }
        }
        return count;
    }
    // Runs the event loop until the predicate holds; returns false if it does not within `timeout`.
    bool wait_until(Seconds timeout, const std::function<bool()>& predicate) {
        return sidecars.run_until(timeout, predicate);
    }
    // Returns the member that holds the lease; 0 if none does or no planner answers.
    int find_lease_holder(const std::string& lease) {
        for (int i = 1; i <= planners.options.planners; ++i) {
            if (const auto table = planners.table(i)) {
                for (const auto& each : table->leases()) {
                    if (each.name() == lease && each.now().fence() > 0) {
                        return planners.node_of(each.now().holder().name());
                    }
                }
            }
        }
        return 0;
    }
};

}  // namespace tideline::fault_tests
