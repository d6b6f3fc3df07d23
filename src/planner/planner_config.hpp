// The configuration of a planner, read from its operator file. The file is checked whole before
// anything of it is used.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_config.hpp"
#include "lease/lease_manager.hpp"
#include "raft/raft.hpp"

namespace tideline::planner {

struct PlannerConfig {
    cluster::Name name;
    std::string listen;   // host:port in digits
    std::string address;  // the same, as members and other planners dial it
    std::string folder;   // where its database is
    std::map<cluster::Name, std::string> planners;  // the planners at first, with their addresses
    std::size_t snapshot_after_entries =
        1000;                            // applied entries until they are replaced by a snapshot
    std::size_t max_connections = 1024;  // connections at once
    std::size_t max_frame_bytes = 16 * 1024 * 1024;  // bytes: the longest frame; a snapshot is one
    raft::RaftSettings raft;
    lease::LeaseManagerSettings leases;
    bool operator==(const PlannerConfig&) const = default;
};

// Reads the text into `planner_config`. Returns the faults, each with its line; the configuration
// is complete only if there are none.
std::vector<cluster::ConfigError> read_planner_config(const std::string& text,
                                                      PlannerConfig& planner_config);
// Reads a file. Throws std::runtime_error, with one line for each fault.
PlannerConfig planner_config_of(const std::string& path);

}  // namespace tideline::planner
