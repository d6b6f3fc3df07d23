#include "fault_tests/sidecar_scenarios.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "fault_tests/scenario_report.hpp"
#include "fault_tests/sidecar_scenario_list.hpp"

namespace tideline::fault_tests {
namespace {

const std::vector<std::pair<std::string, void (*)(SidecarScenarioRun&)>> kScenarios = {
    {"brought-up", lagging_member_updated},
    {"hears-nothing", receives_nothing},
    {"shut-out", lagging_member_excluded},
    {"mad", false_revisions},
    {"partition", partition},
    {"restarts", member_restarted},
    {"stands-still", member_stopped},
    {"slow", slow},
    {"strangers", invalid_connections},
    {"reloaded", configuration_reloaded}};

template <class InjectFaults>
bool run_scenario(const std::string& name, SidecarClusterOptions options,
                  InjectFaults inject_faults) {
    const Seconds started = net::clock_now();
    options.keep_folder = true;
    SidecarScenarioRun run(options);
    try {
        run.begin();
        inject_faults(run);
        run.settle();
        run.stop_and_check();
    } catch (const std::exception& error) {
        run.result.violations.push_back(error.what());
    }
    run.cluster.end_processes();
    const ScenarioReport report{name,
                                net::clock_now() - started,
                                "",
                                run.result.figures,
                                run.result.violations,
                                {run.cluster.folder}};
    return print_report(report, report.violations.size());
}

void apply_schedule(SidecarScenarioRun& run, const std::vector<Event>& events) {
    const Seconds start = net::clock_now();
    for (const Event& event : events) {
        run.cluster.run(std::max(0.0, start + event.at - net::clock_now()));
        run.cluster.apply(event);
    }
    run.cluster.apply({0, "heal", {}});
    for (int i = 1; i <= run.cluster.options.members; ++i) {
        const double member = i;
        run.cluster.apply({0, "slow", {member, 0}});
        run.cluster.apply({0, "go", {member}});
        run.cluster.apply({0, "speak", {member}});
    }
    run.cluster.run(2.5);
    for (int i = 1; i <= run.cluster.options.members; ++i) {
        run.cluster.apply({0, "start", {static_cast<double>(i)}});
    }
}

}  // namespace

std::vector<std::string> sidecar_scenario_names() {
    std::vector<std::string> names;
    for (const auto& [name, inject_faults] : kScenarios) {
        names.push_back(name);
    }
    return names;
}

bool run_sidecar_scenarios(const SidecarClusterOptions& options, const std::string& scenario,
                           int& scenarios_run) {
    bool passed = true;
    for (const auto& [name, inject_faults] : kScenarios) {
        if (scenario == name || scenario == "all") {
            ++scenarios_run;
            // The endpoint list is longer than the frames that one of the members accepts.
            SidecarClusterOptions adjusted = options;
            if (name == "shut-out") {
                adjusted.small_frames_member = 4;
                adjusted.draining_entries = 1500;
            }
            passed &= run_scenario(name, adjusted, inject_faults);
        }
    }
    return passed;
}

bool run_sidecar_schedule(const SidecarClusterOptions& options, const std::string& name,
                          const std::vector<Event>& events) {
    return run_scenario(name, options,
                        [&](SidecarScenarioRun& run) { apply_schedule(run, events); });
}

void measure_sidecar_cost(SidecarClusterOptions options) {
    constexpr Seconds kMeasurementDuration = 20;
    fmt::print(
        "mean of {} sidecars at {} requests per second each, {:.0f} s\n\n"
        "| cluster | CPU, ms per second | resident, KB | descriptors |\n"
        "| --- | --- | --- | --- |\n",
        options.members, options.rate, kMeasurementDuration);
    for (const bool off : {true, false}) {
        options.without_cluster = off;
        net::EventLoop loop;
        SidecarCluster cluster(loop, options);
        cluster.begin();
        cluster.run(5);
        const auto mean = [&](auto of) {
            double sum = 0;
            for (int i = 1; i <= options.members; ++i) {
                sum += static_cast<double>(of(i));
            }
            return sum / options.members;
        };
        const double before = mean([&](int i) { return cluster.cpu_of(i); });
        cluster.run(kMeasurementDuration);
        const double cpu =
            (mean([&](int i) { return cluster.cpu_of(i); }) - before) / kMeasurementDuration * 1e3;
        fmt::print("| {} | {:.2f} | {:.0f} | {:.1f} |\n", off ? "off" : "on, period 0.2 s", cpu,
                   mean([&](int i) { return cluster.memory_of(i); }),
                   mean([&](int i) { return cluster.descriptors_of(i); }));
    }
}

}  // namespace tideline::fault_tests
