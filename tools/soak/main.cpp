// The soak test: a series of restarts and signals of a sidecar while clients keep using every open
// connection. It uses only loopback addresses and ends by itself. Exit status: 0 if no rule was
// broken, 1 if one was, 2 if the soak could not be run.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>

#include "soak/soak_run.hpp"

using namespace tideline;
using namespace tideline::soak;

namespace {

constexpr int kExitViolations = 1;
constexpr int kExitNotRun = 2;
constexpr std::size_t kMaxPrintedViolations = 12;

struct CommandLine {
    std::string program = "build/tideline";
    std::uint32_t seed = 1;
    int seeds = 1;
    int steps = 8;
    std::vector<int> keep;  // numbers of the steps to run; empty: all
    bool show = false;
};

std::vector<Step> schedule_of(const CommandLine& command_line, std::uint32_t seed) {
    const std::vector<Step> drawn = draw_schedule(seed, command_line.steps);
    if (command_line.keep.empty()) {
        return drawn;
    }
    std::vector<Step> kept;
    for (const int number : command_line.keep) {
        kept.push_back(drawn.at(static_cast<std::size_t>(number - 1)));
    }
    return kept;
}

// Runs the soak of one seed, or only prints its schedule. Returns whether no rule was broken.
bool run_seed(const CommandLine& command_line, std::uint32_t seed) {
    SoakOptions options;
    options.program = command_line.program;
    options.seed = seed;
    options.schedule = schedule_of(command_line, seed);
    if (command_line.show) {
        for (const Step& step : options.schedule) {
            fmt::print("{}\n", text_of(step));
        }
        return true;
    }
    const SoakResult result = run_soak(options);
    const std::vector<std::string> violations = violations_of(result.record);
    fmt::print("soak, seed {}: {}; {}\n", seed, violations.empty() ? "holds" : "FAULTS",
               summary_of(result.record));
    if (violations.empty()) {
        std::filesystem::remove_all(result.folder);
        return true;
    }
    for (std::size_t i = 0; i < std::min(kMaxPrintedViolations, violations.size()); ++i) {
        fmt::print("    {}\n", violations[i]);
    }
    for (std::size_t i = 0; i < options.schedule.size(); ++i) {
        fmt::print("    step {}: {}\n", i + 1, text_of(options.schedule[i]));
    }
    fmt::print("    log in {}; to repeat: tideline_soak --program {} --seed {} --steps {}\n",
               result.folder, command_line.program, seed, command_line.steps);
    return false;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CommandLine command_line;
    CLI::App app("Restarts and signals a sidecar while clients keep using every open connection.",
                 "tideline_soak");
    app.failure_message([](const CLI::App*, const CLI::Error& error) {
        return std::string("tideline_soak: ") + error.what() + "\n";
    });
    app.add_option("--program", command_line.program, "path of the tideline program")
        ->check(CLI::ExistingFile)
        ->capture_default_str();
    app.add_option("--seed", command_line.seed, "the first seed")->capture_default_str();
    app.add_option("--seeds", command_line.seeds,
                   "number of seeds, which are run one after another")
        ->check(CLI::Range(1, 10000))
        ->capture_default_str();
    app.add_option("--steps", command_line.steps, "number of steps of each schedule")
        ->check(CLI::Range(1, 200))
        ->capture_default_str();
    app.add_option("--keep", command_line.keep,
                   "numbers of the steps to run, to reduce a schedule to those that matter")
        ->check(CLI::Range(1, 200));
    app.add_flag("--show", command_line.show, "print the schedule without running it");
    try {
        app.parse(argc, argv);
        if (!std::filesystem::exists(command_line.program)) {
            throw std::runtime_error("no such program: " + command_line.program);
        }
        int failed = 0;
        for (int i = 0; i < command_line.seeds; ++i) {
            failed +=
                run_seed(command_line, command_line.seed + static_cast<std::uint32_t>(i)) ? 0 : 1;
            std::fflush(stdout);
        }
        return failed > 0 ? kExitViolations : 0;
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    } catch (const std::exception& error) {
        fmt::print(stderr, "tideline_soak: {}\n", error.what());
        return kExitNotRun;
    }
}
