#include "planner/planner_config.hpp"

#include "cluster/config_reader.hpp"

namespace tideline::planner {

using cluster::ConfigError;
using cluster::Setting;

namespace {

using cluster::ConfigReader;

constexpr int kMaxPlanners = 9;
constexpr double kMaxFrameBytes = 64.0 * 1024 * 1024;

void read_planners(ConfigReader& read, const Setting& from, PlannerConfig& planner_config) {
    if (!from.isList()) {
        return read.fault(from, "is not a list of groups; allowed: ( { ... }, { ... } )");
    }
    for (int i = 0; i < from.getLength(); ++i) {
        cluster::Name name;
        std::string address;
        read.group(from[i], {{"name", read.text(name.value)}, {"address", read.address(address)}});
        if (name.value.empty() || address.empty()) {
            read.fault(from[i], "name or address is missing");
        } else if (!planner_config.planners.emplace(name, address).second) {
            read.fault(from[i], "another planner has the same name");
        }
    }
    if (from.getLength() > kMaxPlanners) {
        read.fault(from, "more than 9 planners: each additional planner makes grants slower");
    }
}

void read_leases(ConfigReader& read, const Setting& from, lease::LeaseManagerSettings& leases) {
    read.group(from, {{"span", read.number(leases.span, 0.2, 3600, " s")},
                      {"drift", read.number(leases.drift, 0, 0.1)},
                      {"claim", read.number(leases.claim, 0.05, 60, " s")},
                      {"absent", read.number(leases.absent, 0.5, 3600, " s")}});
}

void read_log(ConfigReader& read, const Setting& from, PlannerConfig& planner_config) {
    raft::RaftSettings& log = planner_config.raft;
    read.group(from, {{"heartbeat", read.number(log.heartbeat_interval, 0.01, 10, " s")},
                      {"election_least", read.number(log.election_timeout_min, 0.05, 60, " s")},
                      {"election_most", read.number(log.election_timeout_max, 0.05, 120, " s")},
                      {"keep", read.number(planner_config.snapshot_after_entries, 10, 1000000)}});
    if (log.election_timeout_min < 3 * log.heartbeat_interval) {
        read.fault(from,
                   "election_least is less than three heartbeats: one lost heartbeat could depose "
                   "the leader");
    }
    if (log.election_timeout_max <= log.election_timeout_min) {
        read.fault(from,
                   "election_most is not above election_least: all planners would start elections "
                   "at once");
    }
}

void read_limits(ConfigReader& read, const Setting& from, PlannerConfig& planner_config) {
    read.group(
        from,
        {{"links", read.number(planner_config.max_connections, 16, 100000)},
         {"frame", read.number(planner_config.max_frame_bytes, 65536, kMaxFrameBytes, " bytes")}});
}

void check_planner(ConfigReader& read, const Setting& from, const PlannerConfig& planner_config) {
    for (const char* needed : {"name", "listen", "folder", "planners"}) {
        if (from.isGroup() && !from.exists(needed)) {
            read.fault(from, std::string(needed) + " is missing");
        }
    }
    if (!planner_config.planners.empty() &&
        !planner_config.planners.contains(planner_config.name)) {
        read.fault(from, "this planner's own name is not among the planners");
    }
    if (planner_config.name.value.size() > lease::kMaxNameBytes) {
        read.fault(from, "name has more than 100 bytes");
    }
}

void read_planner(ConfigReader& read, const Setting& from, PlannerConfig& planner_config) {
    const auto planners = [&](const Setting& group) { read_planners(read, group, planner_config); };
    const auto leases = [&](const Setting& group) {
        read_leases(read, group, planner_config.leases);
    };
    const auto log = [&](const Setting& group) { read_log(read, group, planner_config); };
    const auto limits = [&](const Setting& group) { read_limits(read, group, planner_config); };
    read.group(from, {{"name", read.text(planner_config.name.value)},
                      {"listen", read.address(planner_config.listen)},
                      {"address", read.address(planner_config.address)},
                      {"folder", read.text(planner_config.folder)},
                      {"planners", planners},
                      {"leases", leases},
                      {"log", log},
                      {"limits", limits}});
    check_planner(read, from, planner_config);
}

}  // namespace

std::vector<ConfigError> read_planner_config(const std::string& text,
                                             PlannerConfig& planner_config) {
    return cluster::parse_config_text(text, [&](ConfigReader& read, const Setting& root) {
        if (!root.exists("planner")) {
            read.fault(root, "planner is missing");
        }
        const auto planner = [&](const Setting& group) {
            read_planner(read, group, planner_config);
        };
        read.group(root, {{"planner", planner}});
        if (planner_config.address.empty()) {
            planner_config.address = planner_config.listen;
        }
    });
}

PlannerConfig planner_config_of(const std::string& path) {
    return cluster::read_config_file(path, read_planner_config);
}

}  // namespace tideline::planner
