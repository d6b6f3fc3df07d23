// `tideline planner`: runs one planner process until it is asked to end.
#pragma once

#include <string>

#include "net/log.hpp"

namespace tideline::cli {

struct PlannerCommand {
    std::string config_path;      // path of the operator file
    bool founds_cluster = false;  // start a new cluster with this planner as its first
    net::Log::Form log_form = net::Log::Form::lines;
};

// Runs the planner until SIGTERM, SIGINT or a fatal error. Returns the exit status: 0 if it was
// asked to end, 3 if its disk failed or it must not continue. Throws std::runtime_error with a
// one-line message if it can't start.
int run_planner(const PlannerCommand& command);

}  // namespace tideline::cli
