// Executes the production state machines of the cluster in virtual time. The sub-commands `check`,
// `leases` and `holders` inject seeded faults and check invariants after every step. `measure`,
// `gaps`, `growth` and `placement` measure costs and durations by cluster size. All figures are
// simulated.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <vector>

#include "simulation/cluster_check.hpp"
#include "simulation/cluster_measurement.hpp"
#include "simulation/lease_simulation.hpp"
#include "simulation/replication_simulation.hpp"

namespace {

using namespace tideline::simulation;

// The options of the command line. Sub-commands share the options that have the same meaning.
struct Options {
    std::uint32_t first_seed = 1;
    int seeds = 200;
    int members = 12;
    std::vector<int> sizes{10, 100, 1000};
    bool mesh_only = false;
    int planners = 5;
    int lease_members = 20;
    bool verbose = false;
    std::vector<int> waiting{10, 100, 1000};
    ReplicationSimulationOptions replication;
};

CLI::App* add_check_command(CLI::App& app, Options& options) {
    CLI::App* command = app.add_subcommand(
        "check", "membership and version audit: seeded faults, checked after every step");
    command->add_option("--seed", options.first_seed, "first seed")->capture_default_str();
    command->add_option("--seeds", options.seeds, "number of seeds")->capture_default_str();
    command->add_option("--members", options.members, "number of members")
        ->check(CLI::Range(4, 200))
        ->capture_default_str();
    return command;
}

void add_measure_command(CLI::App& app, Options& options) {
    CLI::App* command = app.add_subcommand(
        "measure",
        "cost and detection times of the membership by cluster size, beside full-mesh "
        "heartbeats");
    command->add_option("--seeds", options.seeds, "number of seeds")->capture_default_str();
    command->add_flag("--mesh-only", options.mesh_only, "measure only the full-mesh heartbeats");
    command->add_option("--sizes", options.sizes, "members")->capture_default_str();
}

CLI::App* add_leases_command(CLI::App& app, Options& options) {
    CLI::App* command = app.add_subcommand(
        "leases", "planners and members: seeded faults, checked after every step");
    command->add_option("--seed", options.first_seed, "first seed")->capture_default_str();
    command->add_option("--seeds", options.seeds, "number of seeds")->capture_default_str();
    command->add_option("--planners", options.planners, "number of planners")
        ->check(CLI::Range(1, 9))
        ->capture_default_str();
    command->add_option("--members", options.lease_members, "number of members")
        ->check(CLI::Range(2, 1000))
        ->capture_default_str();
    command->add_flag("--verbose", options.verbose,
                      "print the events of the runs, for use with one seed");
    return command;
}

CLI::App* add_gaps_command(CLI::App& app, Options& options) {
    CLI::App* command = app.add_subcommand(
        "gaps", "how long a lease has no holder, by the number of waiting members");
    command->add_option("--seeds", options.seeds, "number of seeds")->capture_default_str();
    command->add_option("--waiting", options.waiting, "numbers of waiting members")
        ->capture_default_str();
    return command;
}

CLI::App* add_holders_command(CLI::App& app, ReplicationSimulationOptions& options) {
    CLI::App* command =
        app.add_subcommand("holders", "replication: seeded faults, checked after every step");
    command->add_option("--seed", options.first, "first seed")->capture_default_str();
    command->add_option("--seeds", options.seeds, "number of seeds")->capture_default_str();
    command->add_option("--members", options.members, "number of members")
        ->check(CLI::Range(2, 200))
        ->capture_default_str();
    command->add_option("--copies", options.replicas, "replicas of each shard")
        ->check(CLI::Range(1, 5))
        ->capture_default_str();
    command->add_option("--least", options.min_replicas,
                        "replicas that store a record before it is acknowledged; 0: all");
    command->add_flag("--off{false}", options.replication, "without replication");
    command->add_flag("--verbose", options.verbose,
                      "print the events of the runs, for use with one seed");
    return command;
}

CLI::App* add_growth_command(CLI::App& app, Options& options) {
    CLI::App* command =
        app.add_subcommand("growth", "cost of replication for a member by cluster size");
    command->add_option("--seeds", options.seeds, "number of seeds")->capture_default_str();
    command->add_option("--sizes", options.sizes, "members")->capture_default_str();
    return command;
}

void measure_cluster_sizes(const Options& options) {
    fmt::print(
        "median (worst) of {} seeds, period 1 s, virtual time; wrongly: about members that are up, "
        "per member and minute\n\n"
        "| members | method | messages/s | bytes/s | death known by all, s | return known by all, "
        "s | wrongly suspected, 5% loss | wrongly gone, 5% loss | wrongly suspected, 10% slow | "
        "wrongly gone, 10% slow |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        options.seeds);
    for (const int size : options.sizes) {
        if (!options.mesh_only) {
            measure_membership(size, options.seeds);
        }
        measure_heartbeat_mesh(size, std::min(options.seeds, size >= 1000 ? 6 : 100));
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Simulates the state machines of the cluster in virtual time.",
                 "tideline_simulation");
    app.require_subcommand(1);
    Options options;
    const CLI::App* check = add_check_command(app, options);
    add_measure_command(app, options);
    const CLI::App* leases = add_leases_command(app, options);
    const CLI::App* gaps = add_gaps_command(app, options);
    const CLI::App* holders = add_holders_command(app, options.replication);
    const CLI::App* growth = add_growth_command(app, options);
    const CLI::App* placement =
        app.add_subcommand("placement", "how evenly shards are placed, and how many replicas move");
    CLI11_PARSE(app, argc, argv);
    if (check->parsed()) {
        return check_cluster(options.first_seed, options.seeds, options.members);
    }
    if (leases->parsed()) {
        return check_leases(options.first_seed, options.seeds, options.planners,
                            options.lease_members, options.verbose);
    }
    if (holders->parsed()) {
        return check_replication(options.replication);
    }
    if (gaps->parsed()) {
        measure_leases(options.seeds, options.waiting);
    } else if (growth->parsed()) {
        measure_replication(options.seeds, options.sizes);
    } else if (placement->parsed()) {
        measure_placement();
    } else {
        measure_cluster_sizes(options);
    }
    return 0;
}
