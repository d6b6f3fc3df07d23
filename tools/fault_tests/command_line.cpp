#include "fault_tests/command_line.hpp"

#include <CLI/CLI.hpp>
#include <filesystem>

namespace tideline::fault_tests {
namespace {

void add_run_options(CLI::App& app, CommandLine& command_line) {
    app.add_option("--program", command_line.sidecars.program, "the sidecar's program")
        ->check(CLI::ExistingFile)
        ->capture_default_str();
    app.add_option("--members", command_line.sidecars.members, "how many")
        ->check(CLI::Range(4, 40))
        ->capture_default_str();
    app.add_option("--rate", command_line.sidecars.rate, "requests a second and member")
        ->capture_default_str();
    app.add_option("--scenario", command_line.scenario, "one of the fixed ones, or all");
    app.add_option("--schedule", command_line.schedule, "a file of events, a line each")
        ->check(CLI::ExistingFile);
    app.add_option("--seed", command_line.sidecars.seed, "first seed of random schedules")
        ->capture_default_str();
    app.add_option("--seeds", command_line.seeds, "how many seeds")->capture_default_str();
    app.add_option("--length", command_line.length, "seconds of a random schedule")
        ->capture_default_str();
    app.add_flag("--list-scenarios", command_line.list_scenarios,
                 "print the names of the fixed scenarios, a line each, run nothing");
    app.add_flag("--show", command_line.show, "print the random schedule, run nothing");
}

void add_lease_options(CLI::App& app, CommandLine& command_line) {
    app.add_flag("--leases", command_line.run_leases,
                 "planners and lease holders, in place of a fleet of sidecars");
    app.add_option("--planners", command_line.planners.planners, "how many")
        ->check(CLI::Range(3, 9))
        ->capture_default_str();
    app.add_option("--holders", command_line.planners.holders, "how many")
        ->check(CLI::Range(2, 40))
        ->capture_default_str();
}

void add_replication_options(CLI::App& app, CommandLine& command_line) {
    app.add_flag("--copies", command_line.run_replication,
                 "sidecars with replicas, machines lost, clients that retry elsewhere");
    app.add_flag("--off", command_line.replication.without_replication,
                 "with --copies and seeds: the same without replication");
}

void add_measurements(CLI::App& app, CommandLine& command_line) {
    app.add_flag("--cost", command_line.measure_cost, "what the fleet costs a sidecar, off and on");
    app.add_option("--gaps", command_line.holder_losses,
                   "time without a holder, over so many kills, stops and cuts");
    app.add_option("--grants", command_line.grant_seconds,
                   "grants a second and fsyncs a grant, so many seconds a row");
    app.add_option("--charges", command_line.charge_seconds,
                   "what a replicated charge costs, so many seconds a row");
    app.add_flag("--repair", command_line.measure_repair,
                 "how long repair takes, and service meanwhile");
    app.add_option("--held", command_line.stored_records, "what so many stored records take");
}

}  // namespace

bool parse_command_line(int argc, char** argv, CommandLine& command_line, int& exit_status) {
    CLI::App app("Real processes as a fleet, failures between them, a check of the whole record.",
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
    command_line.planners.holder = (program_folder / "tideline_lease_holder").string();
    command_line.planners.faulty_disk = (program_folder / "libtideline_faulty_disk.so").string();
    command_line.replication.planners = command_line.planners;
    return true;
}

}  // namespace tideline::fault_tests
