// `tideline sidecar`: runs one sidecar process until its graceful shutdown.
#pragma once

#include <string>

#include "net/log.hpp"

namespace tideline::cli {

struct SidecarCommand {
    std::string config_path;          // path of the configuration, a JSON file
    std::string cluster_config_path;  // operator file of the cluster; empty: joins none
    net::Log::Form log_form = net::Log::Form::lines;
};

// Returns the exit status. Throws std::runtime_error with a one-line message if it can't start.
int run_sidecar(const SidecarCommand& command);

}  // namespace tideline::cli
