// The demonstration that `make try` runs: sidecars between fake endpoints, discovery, release
// platform and clients, the rollout of a new build, and a table of the outcome. It uses only
// loopback addresses and ends by itself.
#include <fmt/format.h>

#include <CLI/CLI.hpp>

#include "demo/rollout.hpp"

using namespace tideline;
using namespace tideline::demo;

int main(int argc, char** argv) {
    Options options;
    CLI::App app("Runs sidecars between fakes through the rollout of a new build.",
                 "tideline_demo");
    app.add_option("--program", options.program, "path of the tideline program")
        ->check(CLI::ExistingFile)
        ->capture_default_str();
    app.add_option("--sidecars", options.sidecars, "number of sidecars")
        ->check(CLI::Range(1, 20))
        ->capture_default_str();
    app.add_option("--rate", options.rate, "requests per second and sidecar")
        ->check(CLI::Range(1, 500))
        ->capture_default_str();
    app.add_option("--length", options.duration, "seconds")
        ->check(CLI::Range(6, 120))
        ->capture_default_str();
    app.add_flag("--fleet", options.cluster,
                 "join the sidecars into a cluster and audit it at the end");
    app.add_option("--planners", options.planners,
                   "number of planners; implies --fleet, and lists the leases at the end")
        ->check(CLI::Range(0, 9))
        ->capture_default_str();
    app.add_flag("--bad", options.trial_fails, "the new build fails 40% of its attempts");
    app.add_option("--copies", options.replicas,
                   "replicas of each shard of the effect log; needs --planners, and ends with the "
                   "loss of a "
                   "machine")
        ->check(CLI::Range(0, 5))
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    if (options.replicas > 0 && (options.planners == 0 || options.sidecars < 4)) {
        fmt::print(stderr, "tideline_demo: --copies needs --planners, and four sidecars or more\n");
        return 2;
    }
    if (options.planners > 0) {
        options.cluster = true;
    }
    try {
        return run_demonstration(options);
    } catch (const std::exception& error) {
        fmt::print(stderr, "tideline_demo: {}\n", error.what());
        return 1;
    }
}
