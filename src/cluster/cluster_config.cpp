#include "cluster/cluster_config.hpp"

#include <fmt/format.h>

#include "cluster/config_reader.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::cluster {
namespace {

constexpr std::size_t kMaxNameBytes = 100;  // names are sent in every message

void read_membership(ConfigReader& read, const Setting& from, ClusterConfig& cluster_config) {
    MembershipSettings& membership = cluster_config.membership;
    read.group(from, {{"period", read.number(membership.period, 0.05, 60, " s")},
                      {"answer_wait", read.number(membership.answer_wait, 0.01, 30, " s")},
                      {"regain_every", read.number(membership.regain_every, 0.1, 600, " s")},
                      {"remember", read.number(membership.remember, 10, 30 * 86400.0, " s")}});
    if (membership.answer_wait > membership.period / 2) {
        read.fault(from, fmt::format("answer_wait: {} s is more than half of the period; "
                                     "allowed: up to {} s",
                                     membership.answer_wait, membership.period / 2));
    }
}

void read_audit(ConfigReader& read, const Setting& from, ClusterConfig& cluster_config) {
    auto& version_audit = cluster_config.version_audit;
    read.group(from, {{"witnesses", read.number(version_audit.witnesses, 2, 100)},
                      {"grace", read.number(version_audit.grace, 0.2, 3600, " s")},
                      {"out_after", read.number(version_audit.exclude_after, 0.2, 3600, " s")},
                      {"blind_after", read.number(version_audit.uncertain_after, 0.5, 3600, " s")},
                      {"most_out", read.number(version_audit.max_excluded_share, 0, 0.9)},
                      {"epochs", read.number(cluster_config.max_epochs, 2, 100000)}});
}

void read_planners(ConfigReader& read, const Setting& from, ClusterConfig& cluster_config) {
    read.group(
        from,
        {{"addresses", read.addresses(cluster_config.planners)},
         {"answer_wait", read.number(cluster_config.lease_client.answer_wait, 0.05, 60, " s")},
         {"ask_again",
          read.number(cluster_config.lease_client.queue_poll_interval, 0.1, 600, " s")},
         {"renew_most",
          read.number(cluster_config.lease_client.max_renewal_interval, 0.05, 600, " s")},
         {"roll_call", read.number(cluster_config.audit_interval, 0, 3600, " s")},
         {"warming", read.number(cluster_config.slow_start_interval, 0, 60, " s")}});
    if (cluster_config.planners.empty()) {
        read.fault(from,
                   "addresses is missing or empty; allowed: the addresses of one or more "
                   "planners");
    }
}

void read_replication(ConfigReader& read, const Setting& from, ClusterConfig& cluster_config) {
    ReplicationSettings& replication = cluster_config.replication;
    replication.enabled = true;
    std::string otherwise = "throttle";
    replication.repair_coordinator.min_replicas = 0;
    read.group(
        from,
        {{"copies", read.number(replication.repair_coordinator.replicas, 1, 5)},
         {"least", read.number(replication.repair_coordinator.min_replicas, 1, 5)},
         {"slots", read.number(replication.repair_coordinator.shards, 1, 16384)},
         {"keep", read.number(replication.replica.time_to_live, 1, 86400, " s")},
         {"keep_epochs",
          read.number(replication.replica.bytes_time_to_live, 60, 90 * 86400.0, " s")},
         {"within", read.number(replication.effect_log.claim_timeout, 0.01, 30, " s")},
         {"otherwise", read.text(otherwise)},
         {"come_back", read.number(replication.effect_log.retry_after, 0, 600, " s")},
         {"absent", read.number(replication.repair_coordinator.absence_limit, 0.2, 86400, " s")},
         {"rest", read.number(replication.repair_coordinator.cooldown, 0.2, 3600, " s")},
         {"review", read.number(replication.repair_coordinator.report_interval, 0.05, 60, " s")},
         {"lag", read.number(replication.replica.lag_limit, 0.05, 60, " s")},
         {"moves", read.number(replication.repair_coordinator.max_moves, 1, 16384)},
         {"repair_rate", read.number(replication.replica.repair_rate, 1e3, 1e9, " bytes a second")},
         {"compare", read.number(replication.replica.comparison_interval, 0.2, 86400, " s")},
         {"scrub", read.number(replication.scrub_interval, 1, 30 * 86400.0, " s")},
         {"grouped", read.boolean(replication.group_commit)}});
    if (replication.repair_coordinator.min_replicas == 0) {
        replication.repair_coordinator.min_replicas = replication.repair_coordinator.replicas;
    }
    if (replication.repair_coordinator.min_replicas > replication.repair_coordinator.replicas) {
        read.fault(from, fmt::format("least: {} is more than copies; allowed: 1 to {}",
                                     replication.repair_coordinator.min_replicas,
                                     replication.repair_coordinator.replicas));
    }
    if (otherwise != "throttle" && otherwise != "alone") {
        read.fault(from, fmt::format("otherwise: \"{}\" is not known; allowed: \"throttle\" "
                                     "or \"alone\"",
                                     otherwise));
    }
    replication.effect_log.allow_unreplicated = otherwise == "alone";
}

void read_limits(ConfigReader& read, const Setting& from, ClusterConfig& cluster_config) {
    read.group(from, {{"links", read.number(cluster_config.max_connections, 4, 10000)},
                      {"frame", read.number(cluster_config.max_frame_bytes, 16384,
                                            64.0 * 1024 * 1024, " bytes")}});
}

void read_fleet(ConfigReader& read, const Setting& from, ClusterConfig& cluster_config) {
    const auto section = [&](auto reads) {
        return [&, reads](const Setting& group) { reads(read, group, cluster_config); };
    };
    read.group(from, {{"member", read.text(cluster_config.name.value)},
                      {"place", read.text(cluster_config.place.value)},
                      {"listen", read.address(cluster_config.listen)},
                      {"address", read.address(cluster_config.address)},
                      {"seeds", read.addresses(cluster_config.seeds)},
                      {"folder", read.text(cluster_config.folder)},
                      {"membership", section(read_membership)},
                      {"audit", section(read_audit)},
                      {"planners", section(read_planners)},
                      {"copies", section(read_replication)},
                      {"limits", section(read_limits)}});
    for (const char* needed : {"member", "listen"}) {
        if (from.isGroup() && !from.exists(needed)) {
            read.fault(from, fmt::format("{} is missing", needed));
        }
    }
    if (cluster_config.replication.enabled && cluster_config.folder.empty()) {
        read.fault(from, "folder is missing; with copies it is needed: a directory of this member");
    }
    if (cluster_config.replication.enabled && cluster_config.planners.empty()) {
        read.fault(from, "planners is missing; with copies it is needed: { addresses = [ ... ]; }");
    }
    const auto check_length = [&](const char* field, const std::string& name) {
        if (name.size() > kMaxNameBytes) {
            read.fault(from, fmt::format("{}: a name of {} bytes; allowed: up to {} bytes", field,
                                         name.size(), kMaxNameBytes));
        }
    };
    check_length("member", cluster_config.name.value);
    check_length("place", cluster_config.place.value);
}

}  // namespace

std::vector<ConfigError> read_cluster_config(const std::string& text,
                                             ClusterConfig& cluster_config) {
    cluster_config.digest = digest_of(text);
    return parse_config_text(text, [&](ConfigReader& read, const Setting& root) {
        if (!root.exists("fleet")) {
            read.fault(root, "fleet is missing");
        }
        read.group(root, {{"fleet",
                           [&](const Setting& from) { read_fleet(read, from, cluster_config); }}});
        if (cluster_config.address.empty()) {
            cluster_config.address = cluster_config.listen;
        }
    });
}

bool needs_restart(const ClusterConfig& started, const ClusterConfig& fresh) {
    return fresh.name != started.name || fresh.place != started.place ||
           fresh.listen != started.listen || fresh.address != started.address ||
           fresh.folder != started.folder || fresh.max_epochs != started.max_epochs ||
           fresh.planners != started.planners || fresh.lease_client != started.lease_client ||
           fresh.audit_interval != started.audit_interval ||
           fresh.slow_start_interval != started.slow_start_interval ||
           fresh.replication != started.replication;
}

std::string digest_of(const std::string& text) {
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

std::string text_of(const std::string& path, const ConfigError& fault) {
    return fault.line > 0 ? fmt::format("{}:{}: {}", path, fault.line, fault.message)
                          : fmt::format("{}: {}", path, fault.message);
}

ClusterConfig load_cluster_config(const std::string& path) {
    return read_config_file(path, read_cluster_config);
}

}  // namespace tideline::cluster
