// Executes the state machines of the cluster in virtual time. `check`, `leases` and `holders`:
// seeded faults, with invariants that are checked after every step. `measure`, `gaps`, `growth` and
// `placement`: cost and times by size. All figures are simulated.
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

// The options of the command line. Sub-commands share those that have the same meaning.
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
    CLI::App* command =
        app.add_subcommand("check", "seeded faults; what has to hold after every step");
    command->add_option("--seed", options.first_seed, "the first")->capture_default_str();
    command->add_option("--seeds", options.seeds, "how many")->capture_default_str();
    command->add_option("--members", options.members, "how many")
        ->check(CLI::Range(4, 200))
        ->capture_default_str();
    return command;
}

void add_measure_command(CLI::App& app, Options& options) {
    CLI::App* command =
        app.add_subcommand("measure", "cost and times by size, beside full-mesh heartbeats");
    command->add_option("--seeds", options.seeds, "how many")->capture_default_str();
    command->add_flag("--mesh-only", options.mesh_only, "the baseline alone");
    command->add_option("--sizes", options.sizes, "members")->capture_default_str();
}

CLI::App* add_leases_command(CLI::App& app, Options& options) {
    CLI::App* command = app.add_subcommand(
        "leases", "planners and members: seeded faults, checked after every step");
    command->add_option("--seed", options.first_seed, "the first")->capture_default_str();
    command->add_option("--seeds", options.seeds, "how many")->capture_default_str();
    command->add_option("--planners", options.planners, "how many")
        ->check(CLI::Range(1, 9))
        ->capture_default_str();
    command->add_option("--members", options.lease_members, "how many")
        ->check(CLI::Range(2, 1000))
        ->capture_default_str();
    command->add_flag("--verbose", options.verbose, "what happens, for one seed");
    return command;
}

CLI::App* add_gaps_command(CLI::App& app, Options& options) {
    CLI::App* command =
        app.add_subcommand("gaps", "how long a lease is without a holder, and by how many wait");
    command->add_option("--seeds", options.seeds, "how many")->capture_default_str();
    command->add_option("--waiting", options.waiting, "members that wait")->capture_default_str();
    return command;
}

CLI::App* add_holders_command(CLI::App& app, ReplicationSimulationOptions& options) {
    CLI::App* command =
        app.add_subcommand("holders", "members that hold for each other: seeded faults, losses");
    command->add_option("--seed", options.first, "the first")->capture_default_str();
    command->add_option("--seeds", options.seeds, "how many")->capture_default_str();
    command->add_option("--members", options.members, "how many")
        ->check(CLI::Range(2, 200))
        ->capture_default_str();
    command->add_option("--copies", options.replicas, "of each slot")
        ->check(CLI::Range(1, 5))
        ->capture_default_str();
    command->add_option("--least", options.min_replicas,
                        "of them, on which what is acknowledged is; 0: all");
    command->add_flag("--off{false}", options.replication, "with copies off: what is lost without");
    command->add_flag("--verbose", options.verbose, "what happens, for one seed");
    return command;
}

CLI::App* add_growth_command(CLI::App& app, Options& options) {
    CLI::App* command = app.add_subcommand(
        "growth", "what holding for others costs a member, by how many there are");
    command->add_option("--seeds", options.seeds, "how many")->capture_default_str();
    command->add_option("--sizes", options.sizes, "members")->capture_default_str();
    return command;
}

void measure_cluster_sizes(const Options& options) {
    fmt::print(
        "median (worst) of {} seeds, period 1 s, virtual time; wrong: about members that live, per "
        "member and minute\n\n"
        "| members | way | messages/s | bytes/s | death known by all, s | return known by all, s | "
        "wrongly suspected, 5% loss | wrongly gone, 5% loss | wrongly suspected, 10% slow | "
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
    CLI::App app("The fleet's cores in virtual time.", "tideline_simulation");
    app.require_subcommand(1);
    Options options;
    const CLI::App* check = add_check_command(app, options);
    add_measure_command(app, options);
    const CLI::App* leases = add_leases_command(app, options);
    const CLI::App* gaps = add_gaps_command(app, options);
    const CLI::App* holders = add_holders_command(app, options.replication);
    const CLI::App* growth = add_growth_command(app, options);
    const CLI::App* placement =
        app.add_subcommand("placement", "how evenly slots are placed, and how much moves");
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
