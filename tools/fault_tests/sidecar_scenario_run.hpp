// One scenario of a fleet of sidecars: the cluster, its violations and its measurements.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fault_tests/check.hpp"
#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

// After all faults are undone all members are current again within this time.
constexpr Seconds kSettleTimeout = 25;

struct ScenarioResult {
    std::vector<std::string> violations;
    std::vector<std::pair<std::string, double>> figures;
};

// Passed to the function that injects the scenario's faults. The result is printed afterwards.
class SidecarScenarioRun {
  public:
    explicit SidecarScenarioRun(const SidecarClusterOptions& options) : cluster(loop, options) {}
    net::EventLoop loop;
    SidecarCluster cluster;
    ScenarioResult result;

    // Adds the violation unless `holds`.
    void expect(bool holds, const std::string& violation) {
        if (!holds) {
            result.violations.push_back(violation);
        }
    }
    void add_figure(const std::string& name, double value) {
        result.figures.emplace_back(name, value);
    }
    // Starts the cluster and waits until all members are current.
    void begin() {
        cluster.begin();
        cluster.start_audits();
        const bool all_current =
            cluster.run_until(kSettleTimeout, [&] { return all_members_current(); });
        expect(all_current, "not all members became current after the start");
        add_figure("all current after start, s", net::clock_now() - cluster.start);
    }
    bool all_members_current() const {
        return cluster.newest_audit() && cluster.all_current(*cluster.newest_audit());
    }
    // Waits until an audit that is queried from now on fulfils the predicate, and returns the time
    // waited. Adds a violation if none does within `timeout`. `condition` describes the predicate.
    Seconds wait_until(const std::string& condition, Seconds timeout,
                       const std::function<bool(const Audit&)>& predicate) {
        const Seconds from = net::clock_now();
        std::size_t checked = cluster.audits.size();
        const bool fulfilled = cluster.run_until(timeout, [&] {
            for (; checked < cluster.audits.size(); ++checked) {
                if (cluster.audits[checked].from >= from && predicate(cluster.audits[checked])) {
                    return true;
                }
            }
            return false;
        });
        expect(fulfilled, "not seen: " + condition);
        add_figure(condition + ", s", net::clock_now() - from);
        return net::clock_now() - from;
    }
    // Returns the state of a member in the audit; empty if the audit does not show it.
    static std::string state_of(const Audit& audit, int member) {
        const auto it = audit.rows.find(member);
        return it == audit.rows.end() ? "" : it->second.state;
    }
    // Waits until all members are current again, in the audits of two members.
    void settle() {
        wait_until("all current again", kSettleTimeout,
                   [&](const Audit& audit) { return cluster.all_current(audit); });
        wait_until("all current in a second audit", kSettleTimeout,
                   [&](const Audit& audit) { return cluster.all_current(audit); });
    }
    // Stops the clients and checks the complete record.
    void stop_and_check() {
        for (std::size_t i = 1; i < cluster.members.size(); ++i) {
            cluster.members[i].clients->stop();
        }
        cluster.run(1.8);
        for (std::string& fault : violations_of(cluster)) {
            result.violations.push_back(std::move(fault));
        }
    }
};

}  // namespace tideline::fault_tests
