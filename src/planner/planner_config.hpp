// The configuration of a planner, read from the operator's file. The whole file is validated before
// any of its values is used.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_config.hpp"
#include "lease/lease_manager.hpp"
#include "raft/raft.hpp"

namespace tideline::planner {

// The settings of the operator's file.
struct PlannerConfig {
    cluster::Name name;
    std::string listen;   // the address to listen at, as a numeric host:port
    std::string address;  // the address that members and other planners connect to
    std::string folder;   // the directory of the planner's database
    // The initial planners of the cluster, with their addresses.
    std::map<cluster::Name, std::string> planners;
    // A snapshot replaces the applied entries once there are more of them than this.
    std::size_t snapshot_after_entries = 1000;
    std::size_t max_connections = 1024;
    // The largest frame. A snapshot has to fit into one.
    std::size_t max_frame_bytes = 16 * 1024 * 1024;
    raft::RaftSettings raft;
    lease::LeaseManagerSettings leases;
    bool operator==(const PlannerConfig&) const = default;
};

// Parses the text into `planner_config`. Returns the faults with their lines; the configuration is
// complete only if there are none.
std::vector<cluster::ConfigError> read_planner_config(const std::string& text,
                                                      PlannerConfig& planner_config);
// Reads and parses a file. Throws std::runtime_error with one line for each fault.
PlannerConfig planner_config_of(const std::string& path);

}  // namespace tideline::planner
