#include "fault_tests/sidecar_cluster.hpp"

#include <fmt/format.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "fakes/run_until.hpp"
#include "fakes/sidecar_settings.hpp"

namespace tideline::fault_tests {
namespace {

using namespace fakes;

constexpr int kDiscoveryPort = 8500;
constexpr int kPlatformPort = 6400;
constexpr int kClientPort = 5433;
constexpr int kInitialEndpointCount = 4;

int host_of(int member) {
    return 256 + member;
}

}  // namespace

SidecarCluster::SidecarCluster(net::EventLoop& event_loop,
                               const SidecarClusterOptions& wanted_options)
    : loop(event_loop),
      options(wanted_options),
      discovery(loop),
      platform(loop),
      members(static_cast<std::size_t>(options.members) + 1),
      relay(loop, options.members) {
    char name[] = "/tmp/tideline-rig-XXXXXX";
    if (!::mkdtemp(name)) {
        throw std::runtime_error("can't create a folder under /tmp");
    }
    folder = name;
    platform.advances_by_votes = false;
    effects.repeatable = {"instalment"};
    for (int i = 0; i < kInitialEndpointCount; ++i) {
        add_endpoint(41);
    }
    for (int i = 0; i < options.draining_entries; ++i) {
        nlohmann::json entry =
            endpoint_entry(fmt::format("old-{}", i), text_of(at_port(9000, kEndpointPort)), 40);
        entry["phase"] = "Terminating";
        discovery.put(entry);
    }
    for (int i = 1; i <= options.members; ++i) {
        Member& member = members[static_cast<std::size_t>(i)];
        member.discovery_listener = discovery.add_listener(at_port(host_of(i), kDiscoveryPort));
        member.platform_listener = platform.add_listener(at_port(host_of(i), kPlatformPort));
        if (member.discovery_listener < 0 || member.platform_listener < 0) {
            throw std::runtime_error("can't listen for discovery and release platform");
        }
        member.clients = std::make_unique<FakeClients>(
            loop, at_port(host_of(i), kClientPort), fmt::format("c{}", i),
            options.seed * 1000 + static_cast<std::uint32_t>(i));
    }
}
SidecarCluster::~SidecarCluster() {
    loop.timers.cancel(audit_timer_);
    loop.timers.cancel(listening_timer_);
    end_processes();
    if (!options.keep_folder) {
        std::filesystem::remove_all(folder);
    }
}

void SidecarCluster::add_endpoint(int build) {
    const int host = 512 + static_cast<int>(endpoints.size());
    endpoints.push_back(std::make_unique<FakeEndpoint>(loop, static_cast<std::uint32_t>(host)));
    endpoints.back()->build = build;
    endpoints.back()->effects = &effects;
    if (!endpoints.back()->listen(at_port(host, kEndpointPort))) {
        throw std::runtime_error("can't listen for endpoints");
    }
    ready_.push_back(fmt::format("pod-{}", endpoints.size()));
    nlohmann::json entry =
        endpoint_entry(ready_.back(), text_of(at_port(host, kEndpointPort)), build);
    if (start > 0 && options.warm_up > 0) {
        entry["up_since_ms"] = net::clock_now() * 1e3;
    }
    discovery.put(entry);
}

std::string SidecarCluster::path_of(int member) const {
    return fmt::format("{}/n{}", folder, member);
}
nlohmann::json SidecarCluster::settings_of(int i) const {
    nlohmann::json settings_file = {
        {"name", fmt::format("n{}", i)},
        {"listen", text_of(at_port(host_of(i), kClientPort))},
        {"discovery", text_of(at_port(host_of(i), kDiscoveryPort))},
        {"seed", fmt::format("{:x}", options.seed * 7919 + static_cast<unsigned>(i))},
        {"limits", {{"sockets", 512}}},
        {"deployer",
         {{"address", text_of(at_port(host_of(i), kPlatformPort))}, {"news", platform.state()}}},
        {"known", discovery.snapshot()},
        {"settings", settings(options.members)}};
    if (options.warm_up > 0) {
        settings_file["settings"]["safety"]["rampTimeUs"] = options.warm_up * 1e6;
    }
    return settings_file;
}
std::string SidecarCluster::planners_config() const {
    std::string planners;
    for (const std::string& each : options.planners) {
        planners += fmt::format("{}\"{}\"", planners.empty() ? "" : ", ", each);
    }
    if (planners.empty()) {
        return "";
    }
    return fmt::format(
        "planners = {{ addresses = [{}]; answer_wait = 0.25; ask_again = 0.5; renew_most = "
        "0.3;\n"
        "    roll_call = 0.5; warming = 0.1; }};\n  ",
        planners);
}
std::string SidecarCluster::replication_config() const {
    if (options.replicas == 0) {
        return "";
    }
    return fmt::format(
        "copies = {{ copies = {}; least = {}; slots = 32; keep = {}; within = 0.4; otherwise = "
        "\"{}\";\n"
        "    come_back = 0.2; absent = 1.5; rest = 1.0; review = 0.2; lag = 0.4; moves = 8; "
        "compare = "
        "2.0;\n"
        "    repair_rate = {}; scrub = {}; grouped = {}; }};\n  ",
        options.replicas, options.min_replicas > 0 ? options.min_replicas : options.replicas,
        options.time_to_live, options.allow_unreplicated ? "alone" : "throttle",
        options.repair_rate, options.scrub_interval, options.group_commit);
}
std::string SidecarCluster::cluster_config_of(int i) const {
    return fmt::format(
        R"(fleet = {{ member = "n{}"; place = "p{}"; listen = "{}"; address = "{}"; seeds = ["{}", "{}"];
  folder = "{}.disk"; membership = {{ period = {}; answer_wait = {}; regain_every = 0.6; remember = 600; }};
  audit = {{ witnesses = 3; grace = {}; out_after = {}; blind_after = {}; most_out = {}; epochs = 64; }};
  {}{}limits = {{ frame = {}; }};
}};
)",
        i, i % 3, text_of(at_port(i, kClusterPort, kListenNetwork)),
        text_of(at_port(i, kClusterPort, kDialedNetwork)),
        text_of(at_port(1, kClusterPort, kDialedNetwork)),
        text_of(at_port(2, kClusterPort, kDialedNetwork)), path_of(i), kProbeInterval,
        kProbeInterval * 0.4, kLagGracePeriod, kExclusionDelay, kUncertaintyDelay,
        kMaxExcludedShare, planners_config(), replication_config(),
        i == options.small_frames_member ? 16384 : 1 << 20);
}

void SidecarCluster::start_member(int i) {
    Member& member = members[static_cast<std::size_t>(i)];
    if (member.process->runs()) {
        return;
    }
    const std::string path = path_of(i);
    std::ofstream(path + ".json") << settings_of(i).dump(1);
    std::ofstream(path + ".cfg") << cluster_config_of(i);
    std::vector<std::string> command;
    if (!options.faulty_disk_library.empty()) {
        command = {"/usr/bin/env",
                   "LD_PRELOAD=" + std::filesystem::absolute(options.faulty_disk_library).string(),
                   "TIDELINE_BADDISK=" + path + ".bad", "TIDELINE_FSYNCS=" + path + ".fsyncs",
                   "ASAN_OPTIONS=verify_asan_link_order=0"};
    }
    command.insert(command.end(), {options.program, "sidecar", "--config", path + ".json"});
    if (!options.without_cluster) {
        command.insert(command.end(), {"--fleet", path + ".cfg"});
    }
    member.log_size_at_start = log_of(i).size();
    member.process->start(command, path + ".log");
    member.stopped = member.is_terminating = false;
    mark_up(i);
}
void SidecarCluster::end_processes() {
    for (Member& member : members) {
        member.process = std::make_unique<Process>();
    }
}
void SidecarCluster::begin() {
    for (int i = 1; i <= options.members; ++i) {
        start_member(i);
    }
    run(1);
    // Clients must not send requests before all sidecars listen. On a loaded machine a process may
    // take longer than a second to start.
    run_until(kStartTimeout, [this] { return all_listen(); });
    for (int i = 1; i <= options.members; ++i) {
        if (!members[static_cast<std::size_t>(i)].process->runs() || !is_listening(i)) {
            throw std::runtime_error(fmt::format("n{} did not start: {}", i, log_of(i)));
        }
        if (options.rate > 0) {
            members[static_cast<std::size_t>(i)].clients->begin(options.rate);
        }
    }
    start = net::clock_now();
}
bool SidecarCluster::is_listening(int member) const {
    const std::size_t from = members[static_cast<std::size_t>(member)].log_size_at_start;
    return log_of(member).find(" sidecar started: ", from) != std::string::npos;
}
bool SidecarCluster::all_listen() const {
    for (int i = 1; i <= options.members; ++i) {
        if (!is_listening(i)) {
            return false;
        }
    }
    return true;
}
const UpInterval* SidecarCluster::serving_interval(int member, Seconds from, Seconds to) const {
    for (const UpInterval& interval : members[static_cast<std::size_t>(member)].up_intervals) {
        if (interval.serves(from, to)) {
            return &interval;
        }
    }
    return nullptr;
}
std::vector<std::string> SidecarCluster::slow_starts() {
    run_until(kMaxRestartTime, [this] { return !record_listening(); });
    std::vector<std::string> lines;
    for (int i = 1; i <= options.members; ++i) {
        for (const UpInterval& interval : members[static_cast<std::size_t>(i)].up_intervals) {
            const Seconds until =
                std::min({interval.listening_from, interval.to, net::clock_now()});
            if (interval.from > start && until - interval.from >= kMaxRestartTime) {
                lines.push_back(fmt::format("n{} did not listen within {} s of its start at {:.3f}",
                                            i, kMaxRestartTime, interval.from - start));
            }
        }
    }
    return lines;
}
void SidecarCluster::run(Seconds duration) {
    run_until(duration, [] { return false; });
}
bool SidecarCluster::run_until(Seconds timeout, const std::function<bool()>& predicate) {
    return fakes::run_until(loop, timeout, predicate);
}

std::string SidecarCluster::folder_of(int member) const {
    return fmt::format("{}/n{}.disk", folder, member);
}
std::string SidecarCluster::log_of(int member) const {
    std::ifstream file(fmt::format("{}/n{}.log", folder, member));
    return {std::istreambuf_iterator<char>(file), {}};
}
long SidecarCluster::memory_of(int member) const {
    std::ifstream file(
        fmt::format("/proc/{}/status", members[static_cast<std::size_t>(member)].process->pid()));
    for (std::string field; file >> field;) {
        if (field == "VmRSS:" && file >> field) {
            return std::stol(field);
        }
    }
    return 0;
}
double SidecarCluster::cpu_of(int member) const {
    return members[static_cast<std::size_t>(member)].process->cpu();
}
std::size_t SidecarCluster::descriptors_of(int member) const {
    std::error_code error;
    const std::filesystem::directory_iterator all(
        fmt::format("/proc/{}/fd", members[static_cast<std::size_t>(member)].process->pid()),
        error);
    return error ? 0
                 : static_cast<std::size_t>(
                       std::distance(std::filesystem::begin(all), std::filesystem::end(all)));
}

}  // namespace tideline::fault_tests
