#include "fault_tests/replication_scenarios.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "fault_tests/replication_scenario_list.hpp"
#include "fault_tests/scenario_report.hpp"

namespace tideline::fault_tests {
namespace {

using namespace fakes;

constexpr std::size_t kPrintedViolations = 8;

struct Scenario {
    const char* name;
    void (*inject_faults)(ReplicationFleet&);
    int replicas = 2;
    double repair_rate = 2e6;
    double scrub_interval = 3600;
    double time_to_live = 60;
};
const std::vector<Scenario> kScenarios = {{"charge-in-flight", charge_in_flight},
                                          {"coordinator-lost", coordinator_lost},
                                          {"homes-lost", primaries_lost},
                                          {"place-lost", place_lost},
                                          {"between-copies", primary_lost_mid_replication, 3},
                                          {"word-held", claim_reply_delayed},
                                          {"slow-links", slow_links},
                                          {"stopped-home", stopped_primary},
                                          {"rolling-restart", rolling_restart},
                                          {"bad-disks", failing_disks},
                                          {"flipped", altered_record, 2, 2e6, 2},
                                          {"no-planners", no_planners},
                                          {"too-many", too_many_machines_lost, 2, 2e6, 3600, 12},
                                          {"lost-in-repair", lost_in_repair, 3, 2e4},
                                          {"epochs-kept", epochs_kept},
                                          {"slow-disk-start", slow_disk_at_start}};

// Undoes all faults and checks that the replicas become complete again without an operator.
void settle(ReplicationFleet& fleet) {
    fleet.apply("heal");
    for (int i = 1; i <= fleet.options.members; ++i) {
        const double one = i;
        fleet.apply("slow", {one, 0.0});
        fleet.apply("go", {one});
        fleet.set_disk_fault(i, DiskFault::none);
        fleet.apply("start", {one});
    }
    for (int p = 1; p <= 3; ++p) {
        fleet.planners.apply({0, "start", {static_cast<double>(p)}});
    }
    if (fleet.options.without_replication) {
        fleet.run(2);
        fleet.clients.stop();
        fleet.run(fleet.clients.time_limit + 0.4);
        return;
    }
    const Seconds from = net::clock_now();
    fleet.expect(fleet.wait_until_complete(), "the replicas are not complete at the end");
    fleet.figures.emplace_back("complete at the end, s", net::clock_now() - from);
    fleet.clients.stop();
    fleet.wait_until(fleet.clients.time_limit + 0.4, [&] { return fleet.clients.open() == 0; });
    fleet.retry_answered_requests();
}
template <class InjectFaults>
bool run_scenario(const std::string& name, const ReplicationOptions& options,
                  const SidecarClusterOptions& base, InjectFaults inject_faults, int& machines_lost,
                  int& duplicate_effects) {
    const Seconds started = net::clock_now();
    ReplicationOptions adjusted = options;
    adjusted.planners.keep_folder = true;
    ReplicationFleet fleet(adjusted, base);
    try {
        fleet.planners.begin();
        fleet.sidecars.begin();
        fleet.expect(options.without_replication || fleet.wait_until_complete(),
                     "the replicas are not complete at the start");
        fleet.clients.begin(options.rate);
        fleet.run(1);
        inject_faults(fleet);
        settle(fleet);
        fleet.check();
    } catch (const std::exception& error) {
        fleet.violations.push_back(error.what());
    }
    machines_lost += fleet.machines_lost;
    duplicate_effects += fleet.duplicate_effects;
    std::size_t attempts = 0;
    std::size_t succeeded = 0;
    for (const RepeatedRequest& each : fleet.clients.requests) {
        attempts += each.attempts.size();
        succeeded += each.succeeded_at > 0;
    }
    fleet.sidecars.end_processes();
    fleet.planners.end_processes();
    const ScenarioReport report{
        name,
        net::clock_now() - started,
        fmt::format(
            "{} requests, {} attempts, {} succeeded; {} machines lost, {} duplicate effects",
            fleet.clients.requests.size(), attempts, succeeded, fleet.machines_lost,
            fleet.duplicate_effects),
        fleet.figures,
        fleet.violations,
        {fleet.sidecars.folder, fleet.planners.folder}};
    return print_report(report, kPrintedViolations);
}

// Injects random faults and machine losses from a seed. Each is undone after a random time.
class RandomFaults {
  public:
    RandomFaults(ReplicationFleet& fleet, std::uint32_t seed) : fleet_(fleet), random_(seed) {}
    void run_until(Seconds end) {
        while (net::clock_now() < end) {
            inject_one();
            fleet_.run(draw(0, 0.6));
        }
    }

  private:
    double draw(double from, double to) {
        return from + (to - from) * static_cast<double>(random_()) /
                          (1.0 + static_cast<double>(random_.max()));
    }
    double draw_member() {
        return static_cast<double>(1 + static_cast<int>(draw(0, fleet_.options.members)));
    }
    void inject_one() {
        const double member = draw_member();
        const double other = draw_member();
        switch (static_cast<int>(draw(0, 8))) {
            case 0:
            case 1:
            case 2:
                return lose_machines(member);
            case 3:
                return undo_after("kill", member, draw(0.1, 2), "start");
            case 4:
                return undo_after("stop", member, draw(0.1, 2.5), "go");
            case 5:
                return cut_link(member, other);
            case 6:
                return slow_down(member);
            default:
                return kill_planner();
        }
    }
    // Loses a machine, or both machines of one place, at a random time after the replicas are
    // complete.
    void lose_machines(double member) {
        if (!fleet_.options.without_replication && !fleet_.wait_until_complete(10)) {
            return;
        }
        fleet_.run(draw(0, 0.5));
        const bool both = draw(0, 1) < 0.3;
        const double partner = member > 3 ? member - 3 : member + 3;
        fleet_.lose_machine(static_cast<int>(member));
        if (both) {
            fleet_.lose_machine(static_cast<int>(partner));
        }
        fleet_.run(draw(0.1, 2.5));
        fleet_.apply("start", {member});
        if (both) {
            fleet_.apply("start", {partner});
        }
    }
    void undo_after(const std::string& fault, double member, Seconds duration,
                    const std::string& undo) {
        fleet_.apply(fault, {member});
        fleet_.run(duration);
        fleet_.apply(undo, {member});
    }
    void cut_link(double from, double to) {
        fleet_.apply("cut", {from, to});
        if (draw(0, 1) < 0.5) {
            fleet_.apply("cut", {to, from});
        }
        fleet_.run(draw(0.1, 2.5));
        fleet_.apply("heal");
    }
    void slow_down(double member) {
        fleet_.apply("slow", {member, draw(0.1, 3)});
        fleet_.run(draw(0.1, 2.5));
        fleet_.apply("slow", {member, 0.0});
        fleet_.run(3.2);  // until the delayed messages have arrived
    }
    void kill_planner() {
        fleet_.planners.apply({0, "kill", {static_cast<double>(1 + static_cast<int>(draw(0, 3)))}});
        fleet_.run(draw(0.1, 1));
        for (int planner = 1; planner <= 3; ++planner) {
            fleet_.planners.apply({0, "start", {static_cast<double>(planner)}});
        }
    }
    ReplicationFleet& fleet_;
    std::ranlux24_base random_;
};

}  // namespace

std::vector<std::string> replication_scenario_names() {
    std::vector<std::string> names;
    for (const Scenario& each : kScenarios) {
        names.emplace_back(each.name);
    }
    return names;
}

bool run_replication_scenarios(const ReplicationOptions& options, const std::string& scenario,
                               int& scenarios_run) {
    bool passed = true;
    int machines_lost = 0;
    int duplicate_effects = 0;
    for (const Scenario& each : kScenarios) {
        if (scenario != each.name && scenario != "all") {
            continue;
        }
        ++scenarios_run;
        ReplicationOptions adjusted = options;
        adjusted.replicas = each.replicas;
        SidecarClusterOptions base = cluster_options_of(adjusted);
        base.repair_rate = each.repair_rate;
        base.scrub_interval = each.scrub_interval;
        base.time_to_live = each.time_to_live;
        passed &= run_scenario(each.name, adjusted, base, each.inject_faults, machines_lost,
                               duplicate_effects);
    }
    return passed;
}

bool run_random_replication_faults(const ReplicationOptions& options, std::uint32_t seed,
                                   Seconds length, int& machines_lost, int& duplicate_effects) {
    ReplicationOptions adjusted = options;
    adjusted.planners.seed = seed;
    const auto inject_faults = [&](ReplicationFleet& fleet) {
        RandomFaults(fleet, seed).run_until(net::clock_now() + length);
    };
    return run_scenario(
        fmt::format("copies{}, seed {}", adjusted.without_replication ? " off" : "", seed),
        adjusted, cluster_options_of(adjusted), inject_faults, machines_lost, duplicate_effects);
}

}  // namespace tideline::fault_tests
