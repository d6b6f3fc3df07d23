#include "cli/planner.hpp"

#include <random>
#include <stdexcept>
#include <utility>

#include "cli/signals.hpp"
#include "planner/planner.hpp"

namespace tideline::cli {
namespace {

constexpr int kExitFatal = 3;

// Handles SIGHUP. A planner applies its configuration only when it starts, so this only logs
// whether the file is valid and whether a restart is needed to apply it.
void check_config_change(const std::string& path, const planner::PlannerConfig& active_config,
                         net::Log& log) {
    try {
        const bool changed = planner::planner_config_of(path) != active_config;
        log.line("planner: configuration checked: restart_needed={}", changed ? "yes" : "no");
    } catch (const std::runtime_error& error) {
        log.alarm("planner: configuration invalid: {}", error.what());
    }
}

}  // namespace

int run_planner(const PlannerCommand& command) {
    const planner::PlannerConfig planner_config = planner::planner_config_of(command.config_path);
    net::Log log(command.log_form);
    google::protobuf::SetLogHandler(nullptr);
    net::EventLoop loop;
    Signals signals(loop);
    // The planner draws the id of its disk from this seed. No two disks may have the same id, so
    // the seed is not configurable.
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32) | device();
    planner::Planner planner(loop, log, planner_config, command.founds_cluster, seed);
    planner.begin();
    while (!signals.shutdown_requested && planner.fatal_error().empty()) {
        loop.pass();
        if (std::exchange(signals.reload_requested, false)) {
            check_config_change(command.config_path, planner_config, log);
        }
        log.flush();
    }
    if (!planner.fatal_error().empty()) {
        log.alarm("planner: ends, it can't promise any more: {}", planner.fatal_error());
    }
    if (signals.shutdown_requested) {
        log.line("planner: shutdown requested by a signal");
    }
    log.flush();
    return planner.fatal_error().empty() ? 0 : kExitFatal;
}

}  // namespace tideline::cli
