// SidecarCluster: applies events to processes, links, discovery and the release platform.

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

#include "fakes/sidecar_settings.hpp"
#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

namespace {

using namespace fakes;

constexpr Seconds kListeningPollInterval = 0.02;
constexpr Seconds kShutdownGrace = 0.7;  // a process still serves for this time after SIGTERM

}  // namespace

void SidecarCluster::mark_up(int i) {
    auto& intervals = members[static_cast<std::size_t>(i)].up_intervals;
    if (intervals.empty() || intervals.back().to < kFarFuture) {
        intervals.push_back({{net::clock_now()}});
        follow_starts();
    }
}
bool SidecarCluster::record_listening() {
    bool any_starting = false;
    for (int i = 1; i <= options.members; ++i) {
        Member& member = members[static_cast<std::size_t>(i)];
        const bool up = !member.up_intervals.empty() && member.up_intervals.back().to == kFarFuture;
        if (!up || !member.process->runs() || member.up_intervals.back().listens()) {
            continue;
        }
        if (is_listening(i)) {
            member.up_intervals.back().listening_from = net::clock_now();
        } else {
            any_starting = true;
        }
    }
    return any_starting;
}
void SidecarCluster::follow_starts() {
    loop.timers.cancel(listening_timer_);
    listening_timer_ = net::Timers::kNone;
    if (record_listening()) {
        listening_timer_ =
            loop.timers.at(net::clock_now() + kListeningPollInterval, [this] { follow_starts(); });
    }
}
void SidecarCluster::mark_down(int i) {
    auto& intervals = members[static_cast<std::size_t>(i)].up_intervals;
    if (!intervals.empty()) {
        intervals.back().to = std::min(intervals.back().to, net::clock_now());
    }
}
void SidecarCluster::cut(int from, int to) {
    if (from == to || relay.is_cut({from, to})) {
        return;
    }
    relay.cut({from, to});
    cuts[{from, to}].push_back({net::clock_now()});
}
void SidecarCluster::heal(int from, int to) {
    relay.heal({from, to});
    if (auto& intervals = cuts[{from, to}]; !intervals.empty()) {
        intervals.back().to = std::min(intervals.back().to, net::clock_now());
    }
}

bool SidecarCluster::stop(int number) {
    Member& member = members[static_cast<std::size_t>(number)];
    if (!member.process->runs()) {
        return false;
    }
    mark_down(number);
    member.stopped = true;
    member.process->signal(SIGSTOP);
    return true;
}
bool SidecarCluster::resume(int number) {
    Member& member = members[static_cast<std::size_t>(number)];
    member.process->signal(SIGCONT);
    if (!std::exchange(member.stopped, false) || !member.process->runs()) {
        return false;
    }
    mark_up(number);
    if (member.is_terminating) {
        member.up_intervals.back().to = net::clock_now() + kShutdownGrace;
    }
    return true;
}
void SidecarCluster::terminate(int number) {
    Member& member = members[static_cast<std::size_t>(number)];
    mark_down(number);
    if (!member.up_intervals.empty()) {
        member.up_intervals.back().to += kShutdownGrace;  // it still serves during its shutdown
    }
    member.is_terminating = true;
    member.process->signal(SIGTERM);
}

bool SidecarCluster::apply_to_process(const Event& event) {
    const std::string& action = event.action;
    const int number = event.argument(0);
    Process* const process = number >= 1 && number <= options.members
                                 ? members[static_cast<std::size_t>(number)].process.get()
                                 : nullptr;
    if (!process) {
        return false;
    }
    if (action == "kill") {
        mark_down(number);
        process->signal(SIGKILL);
        process->wait();
    } else if (action == "term") {
        terminate(number);
    } else if (action == "start") {
        start_member(number);
    } else if (action == "wipe") {
        std::filesystem::remove_all(folder_of(number));
    } else if (action == "disk") {
        std::ofstream(fmt::format("{}/n{}.bad", folder, number))
            << disk_fault_name(DiskFault{event.argument(1)});
    } else if (action == "stop") {
        return stop(number);
    } else if (action == "go") {
        return resume(number);
    } else {
        return false;
    }
    return true;
}

bool SidecarCluster::apply_to_links(const Event& event) {
    const std::string& action = event.action;
    const int one = event.argument(0);
    if (action == "cut") {
        cut(one, event.argument(1));
    } else if (action == "heal") {
        for (int from = 1; from <= options.members; ++from) {
            for (int to = 1; to <= options.members; ++to) {
                if (event.arguments.empty() || (from == one && to == event.argument(1))) {
                    heal(from, to);
                }
            }
        }
    } else if (action == "split") {
        for (int a = 1; a <= one; ++a) {
            for (int b = one + 1; b <= options.members; ++b) {
                cut(a, b);
                cut(b, a);
            }
        }
    } else if (action == "slow") {
        for (int other = 1; other <= options.members; ++other) {
            relay.delay({one, other}, event.arguments[1]);
            relay.delay({other, one}, event.arguments[1]);
        }
    } else {
        return false;
    }
    return true;
}

bool SidecarCluster::drain_endpoint() {
    if (ready_.size() <= 4) {
        return false;
    }
    const std::string id = ready_[2];
    ready_.erase(ready_.begin() + 2);
    const int host = 511 + std::stoi(id.substr(4));
    nlohmann::json entry = endpoint_entry(id, text_of(at_port(host, kEndpointPort)),
                                          endpoints[static_cast<std::size_t>(host - 512)]->build);
    entry["phase"] = "Terminating";
    discovery.put(entry);
    return true;
}
void SidecarCluster::mute(int number, bool muted) {
    Member& member = members[static_cast<std::size_t>(number)];
    discovery.mute(member.discovery_listener, muted);
    platform.mute(member.platform_listener, muted);
    if (muted) {
        member.muted_intervals.push_back({net::clock_now()});
    } else if (!member.muted_intervals.empty()) {
        member.muted_intervals.back().to =
            std::min(member.muted_intervals.back().to, net::clock_now());
    }
}

bool SidecarCluster::apply_to_inputs(const Event& event) {
    const std::string& action = event.action;
    const int one = event.argument(0);
    if (action == "mute" || action == "speak") {
        mute(one, action == "mute");
    } else if (action == "lie") {
        discovery.add_to_revision(members[static_cast<std::size_t>(one)].discovery_listener,
                                  1000000);
    } else if (action == "pod") {
        add_endpoint(endpoints.size() % 2 ? 41 : kTrialBuild);
    } else if (action == "drain") {
        return drain_endpoint();
    } else if (action == "offer") {
        add_endpoint(one);
        add_endpoint(one);
        platform.offer(one);
    } else if (action == "stage") {
        platform.move(one, "canary", platform.caps.at(static_cast<std::size_t>(one)));
    } else if (action == "back") {
        platform.move(platform.state()["step"].get<int>(), "reverting", 0);
    } else if (action == "release") {
        platform.move(platform.state()["step"].get<int>(), "stable", 1);
    } else {
        return false;
    }
    return true;
}

void SidecarCluster::apply(const Event& event) {
    if (!apply_to_process(event) && !apply_to_links(event) && !apply_to_inputs(event)) {
        return;
    }
    const auto state = platform.state();
    if (state["version"] == kTrialBuild) {
        caps.emplace_back(net::clock_now(),
                          state["status"] == "stable" ? 2.0 : state["maxWeight"].get<double>());
    }
}

}  // namespace tideline::fault_tests
