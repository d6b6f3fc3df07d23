// Measures what leases cost: the time without a holder after each kind of loss, and the CPU time
// and memory of a sidecar that holds leases.

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>

#include "fault_tests/check.hpp"
#include "fault_tests/fleet.hpp"
#include "fault_tests/lease_scenarios.hpp"
#include "fault_tests/planner_cluster_run.hpp"

namespace tideline::fault_tests {

void measure_holder_gaps(const PlannerClusterOptions& options, int times) {
    fmt::print(
        "real processes: {} planners, {} holders, lease duration {} s, drift {}; "
        "the leader waits {:.3f} s after the last renewal it received, the holder renews every 0.3 "
        "s\n\n"
        "| the holder is | times | median, s | p90 | worst | violations |\n"
        "| --- | --- | --- | --- | --- | --- |\n",
        options.planners, options.holders, kLeaseDuration, kMaxClockDrift, kGrantorWaitDuration);
    for (const char* loss : {"killed", "stopped", "cut off", "asked to give it back"}) {
        PlannerClusterRun run(options);
        run.cluster.begin();
        std::vector<Seconds> gaps;
        for (int i = 0; i < times; ++i) {
            const int holder = run.wait_for_holder();
            const double node = holder;
            const std::string name = run.cluster.name_of(holder);
            const Seconds from = net::clock_now();
            if (*loss == 'k') {
                run.apply("kill", {node});
            }
            if (*loss == 's') {
                run.apply("stop", {node});
            }
            if (*loss == 'a') {
                run.apply("release-task", {node});
            }
            if (*loss == 'c') {
                for (int p = 1; p <= options.planners; ++p) {
                    run.apply("cut", {node, static_cast<double>(p)});
                    run.apply("cut", {static_cast<double>(p), node});
                }
            }
            gaps.push_back(run.wait_for_another_holder(name, from));
            run.apply("heal");
            run.apply("go", {node});
            run.apply("start", {node});
            run.cluster.run(0.3 + 0.05 * (i % 7));
        }
        std::sort(gaps.begin(), gaps.end());
        const auto at = [&](double quantile) {
            return gaps[static_cast<std::size_t>(quantile * static_cast<double>(gaps.size() - 1))];
        };
        fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.3f} | {} |\n", loss, times, at(0.5), at(0.9),
                   at(1), violations_of(run.cluster).size() + run.violations.size());
        std::fflush(stdout);
    }
}

void measure_lease_cost(const PlannerClusterOptions& options) {
    constexpr Seconds kRowDuration = 20;
    fmt::print(
        "6 sidecars at 25 requests per second each, ping period 0.2 s, roll call every 0.5 s, "
        "renewals every 0.3 s, {} s for each row\n\n"
        "| sidecars | CPU, ms per second | resident, KB |\n"
        "| --- | --- | --- |\n",
        kRowDuration);
    const auto row = [&](SidecarCluster& cluster, const char* who,
                         const std::function<bool(int)>& counts) {
        std::vector<double> before(static_cast<std::size_t>(cluster.options.members) + 1);
        double cpu = 0;
        double memory = 0;
        double count = 0;
        for (int i = 1; i <= cluster.options.members; ++i) {
            before[static_cast<std::size_t>(i)] = cluster.cpu_of(i);
        }
        cluster.run(kRowDuration);
        for (int i = 1; i <= cluster.options.members; ++i) {
            if (!counts(i)) {
                continue;
            }
            cpu += (cluster.cpu_of(i) - before[static_cast<std::size_t>(i)]) / kRowDuration * 1e3;
            memory += static_cast<double>(cluster.memory_of(i));
            ++count;
        }
        fmt::print("| {} | {:.2f} | {:.0f} |\n", who, cpu / std::max(1.0, count),
                   memory / std::max(1.0, count));
        std::fflush(stdout);
    };
    {
        SidecarClusterOptions without =
            Fleet::sidecar_options(options, Fleet::default_sidecar_options(), {});
        without.keep_folder = false;
        net::EventLoop loop;
        SidecarCluster cluster(loop, without);
        cluster.begin();
        cluster.run(4);
        row(cluster, "without planners", [](int) { return true; });
    }
    Fleet fleet(options);
    fleet.planners.begin();
    fleet.sidecars.begin();
    fleet.sidecars.run(6);
    const int roll_call_holder = fleet.find_lease_holder("roll-call");
    const int warming_holder = fleet.find_lease_holder("warming");
    row(fleet.sidecars, "holds a lease",
        [&](int i) { return i == roll_call_holder || i == warming_holder; });
    row(fleet.sidecars, "waits for both",
        [&](int i) { return i != roll_call_holder && i != warming_holder; });
    for (const std::string& folder : {fleet.sidecars.folder, fleet.planners.folder}) {
        std::filesystem::remove_all(folder);
    }
}

}  // namespace tideline::fault_tests
