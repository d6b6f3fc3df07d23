// The cluster configuration of a member, read from its operator file with libconfig. The complete
// file is validated before any of it takes effect.
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
    Seconds scrub_interval = 3600;  // all replicas are read back from the disk once in it
    bool group_commit = true;       // several records per fsync; false only for measurements
    bool operator==(const ReplicationSettings&) const = default;
};

struct ClusterConfig {
    Name name;
    Place place;
    std::string listen;   // host:port in digits
    std::string address;  // host:port at which other members connect to it
    std::vector<std::string> seeds;
    std::string folder;  // directory for state that survives restarts; if empty, nothing is stored
    std::size_t max_connections = 64;           // concurrent connections to members
    std::size_t max_frame_bytes = 1024 * 1024;  // longest frame that is accepted
    std::size_t max_epochs = 256;               // sealed epochs kept individually
    MembershipSettings membership;
    audit::VersionAuditSettings version_audit;
    // Addresses of the planners; without any, leased tasks are off.
    std::vector<std::string> planners;
    lease::LeaseClientSettings lease_client;
    Seconds audit_interval = 5;  // between fleet audits by the lease holder; 0: off
    // Between slow-start allocations by the lease holder; 0: off.
    Seconds slow_start_interval = 0.5;
    ReplicationSettings replication;
    std::string digest;  // of the file's text
};

// Returns whether `fresh` differs from `started`, the configuration that the member was started
// with, in a setting that takes effect only at the next start.
bool needs_restart(const ClusterConfig& started, const ClusterConfig& fresh);

// A fault in a configuration file.
struct ConfigError {
    int line = 0;  // 0: the fault concerns the whole file
    std::string message;
};

// Parses `text`. Returns all faults, ordered by line; `cluster_config` is valid only if there are
// none.
std::vector<ConfigError> read_cluster_config(const std::string& text,
                                             ClusterConfig& cluster_config);
// Reads the file. Throws std::runtime_error with one line per fault: file, line and description.
ClusterConfig load_cluster_config(const std::string& path);
std::string digest_of(const std::string& text);  // 16 hex digits, equal for equal texts
// Formats the fault for the operator, with file and line.
std::string text_of(const std::string& path, const ConfigError& fault);

}  // namespace tideline::cluster
