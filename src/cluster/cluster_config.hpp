// The cluster configuration of a member, read from its operator file with libconfig. The file is
// checked as a whole before anything of it takes effect.
#pragma once

#include <string>
#include <vector>

#include "audit/version_audit.hpp"
#include "cluster/membership.hpp"
#include "lease/lease_client.hpp"
#include "replication/effect_log_client.hpp"
#include "replication/repair_coordinator.hpp"

namespace tideline::cluster {

// Replication of the effect log between members.
struct ReplicationSettings {
    bool enabled = false;
    replication::ReplicaSettings replica;
    replication::EffectLogClientSettings effect_log;
    replication::RepairSettings repair_coordinator;
    Seconds scrub_interval = 3600;  // s: all replicas are read back from the disk once in that time
    bool group_commit = true;       // several records a fsync; false only for measurements
    bool operator==(const ReplicationSettings&) const = default;
};

struct ClusterConfig {
    Name name;
    Place place;
    std::string listen;   // host:port in digits
    std::string address;  // the same, as other members connect to it
    std::vector<std::string> seeds;
    std::string folder;                // for what has to outlive a restart; empty: nothing does
    std::size_t max_connections = 64;  // connections to members at once
    std::size_t max_frame_bytes = 1024 * 1024;  // bytes: the longest frame that is accepted
    std::size_t max_epochs = 256;               // sealed epochs kept one by one
    MembershipSettings membership;
    audit::VersionAuditSettings version_audit;
    std::vector<std::string> planners;  // their addresses; none: no leased tasks
    lease::LeaseClientSettings lease_client;
    Seconds audit_interval = 5;  // s between fleet audits, by the holder of the lease; 0: never
    Seconds slow_start_interval = 0.5;  // s between slow-start allocations, likewise
    ReplicationSettings replication;
    std::string digest;  // of the file's text
};

// Whether something differs that takes effect at the next start only. `started`: the configuration
// with which the member was started.
bool needs_restart(const ClusterConfig& started, const ClusterConfig& fresh);

// Something wrong in a configuration file.
struct ConfigError {
    int line = 0;  // 0: in the file as a whole
    std::string message;
};

// All faults of the text, in the order of lines; `cluster_config` is valid only if there is none.
std::vector<ConfigError> read_cluster_config(const std::string& text,
                                             ClusterConfig& cluster_config);
// Reads a file. Throws std::runtime_error, with one line a fault: file, line and what is wrong.
ClusterConfig cluster_config_of(const std::string& path);
std::string digest_of(const std::string& text);  // 16 hex digits, equal for equal texts
// File, line and fault, as an operator reads it.
std::string text_of(const std::string& path, const ConfigError& fault);

}  // namespace tideline::cluster
