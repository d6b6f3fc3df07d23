#include "fault_tests/command_line.hpp"

#include <CLI/CLI.hpp>
#include <filesystem>

namespace tideline::fault_tests {
namespace {

void add_run_options(CLI::App& app, CommandLine& command_line) {
    app.add_option("--program", command_line.sidecars.program, "path of the tideline program")
        ->check(CLI::ExistingFile)
        ->capture_default_str();
    app.add_option("--members", command_line.sidecars.members, "how many")
        ->check(CLI::Range(4, 40))
        ->capture_default_str();
    app.add_option("--rate", command_line.sidecars.rate, "requests per second for each member")
        ->capture_default_str();
    app.add_option("--scenario", command_line.scenario, "name of a fixed scenario, or all");
    app.add_option("--schedule", command_line.schedule, "path of a file with events, one per line")
        ->check(CLI::ExistingFile);
    app.add_option("--seed", command_line.sidecars.seed, "first seed of random schedules")
        ->capture_default_str();
    app.add_option("--seeds", command_line.seeds, "number of random schedules")
        ->capture_default_str();
    app.add_option("--length", command_line.length, "duration of a random schedule in seconds")
        ->capture_default_str();
    app.add_flag("--list-scenarios", command_line.list_scenarios,
                 "print the names of the fixed scenarios, one per line, and exit");
    app.add_flag("--show", command_line.show, "print the random schedules and exit");
}

void add_lease_options(CLI::App& app, CommandLine& command_line) {
    app.add_flag("--leases", command_line.run_leases,
                 "test planners and lease holders instead of sidecars");
    app.add_option("--planners", command_line.planners.planners, "how many")
        ->check(CLI::Range(3, 9))
        ->capture_default_str();
    app.add_option("--holders", command_line.planners.holders, "how many")
        ->check(CLI::Range(2, 40))
        ->capture_default_str();
}

void add_replication_options(CLI::App& app, CommandLine& command_line) {
    app.add_flag(
        "--copies", command_line.run_replication,
        "test sidecars with replication, lost machines and clients that retry at other sidecars");
    app.add_flag("--off", command_line.replication.without_replication,
                 "with --copies and random schedules: turn replication off");
}

void add_measurements(CLI::App& app, CommandLine& command_line) {
    app.add_flag("--cost", command_line.measure_cost,
                 "measure a sidecar's CPU and memory without and with the cluster");
    app.add_option("--gaps", command_line.holder_losses,
                   "measure the time without a lease holder, over this many losses of each kind");
    app.add_option(
        "--grants", command_line.grant_seconds,
        "measure lease grants per second and fsyncs per grant, for this many seconds per row");
    app.add_option("--charges", command_line.charge_seconds,
                   "measure what a replicated charge costs, for this many seconds per row");
    app.add_flag("--repair", command_line.measure_repair,
                 "measure how long a repair takes, and latencies meanwhile");
    app.add_option("--held", command_line.stored_records,
                   "measure the memory and disk space of this many stored records");
}

}  // namespace

bool parse_command_line(int argc, char** argv, CommandLine& command_line, int& exit_status) {
    CLI::App app(
        "Runs real processes as a cluster, injects faults, and checks the complete record.",
        "tideline_fault_tests");
    app.failure_message([](const CLI::App*, const CLI::Error& error) {
        return std::string("tideline_fault_tests: ") + error.what() + "\n";
    });
    add_run_options(app, command_line);
    add_lease_options(app, command_line);
    add_replication_options(app, command_line);
    add_measurements(app, command_line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        exit_status = app.exit(error);
        return false;
    }
    // The lease holder and the library with disk faults are built into the folder of this program.
    const auto program_folder = std::filesystem::path(argv[0]).parent_path();
    command_line.planners.program = command_line.sidecars.program;
    command_line.planners.holder_program = (program_folder / "tideline_lease_holder").string();
    command_line.planners.faulty_disk_library =
        (program_folder / "libtideline_faulty_disk.so").string();
    command_line.replication.planners = command_line.planners;
    return true;
}

}  // namespace tideline::fault_tests
