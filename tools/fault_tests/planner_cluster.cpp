#include "fault_tests/planner_cluster.hpp"

#include <fmt/format.h>
#include <stdlib.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "fakes/run_until.hpp"

namespace tideline::fault_tests {
namespace {

using namespace fakes;

constexpr int kTargetPort = 7700;
constexpr int kTargetHost = 9 * 256;
// time for a new cluster to elect a leader and grant the lease
constexpr Seconds kFormationTimeout = 20;
constexpr const char* kTaskLease = "task";  // the lease that the holders request

}  // namespace

class PlannerCluster::TargetConnection : public net::TcpConnection {
  public:
    TargetConnection(net::EventLoop& loop, PlannerCluster& cluster, int number)
        : TcpConnection(loop), cluster_(cluster), number_(number) {}

  protected:
    void on_received() override {
        for (;;) {
            const std::string_view all = in_.all();
            const auto end = all.find('\n');
            if (end == std::string_view::npos) {
                return;
            }
            const std::string line(all.substr(0, end));
            in_.drop(end + 1);
            cluster_.record_action(line);
        }
    }
    void on_closed() override {
        cluster_.target_.drop(number_);
    }

  private:
    PlannerCluster& cluster_;
    const int number_;
};

PlannerCluster::PlannerCluster(net::EventLoop& event_loop,
                               const PlannerClusterOptions& wanted_options)
    : loop(event_loop),
      options(wanted_options),
      relay(loop, options.planners + options.holders, options.first_host + 1),
      target_(loop, *this),
      stopped_(static_cast<std::size_t>(options.planners + options.holders) + 1, false) {
    char name[] = "/tmp/tideline-rig-XXXXXX";
    if (!::mkdtemp(name)) {
        throw std::runtime_error("can't create a folder under /tmp");
    }
    folder = name;
    if (!target_.listen(at_port(kTargetHost, kTargetPort))) {
        throw std::runtime_error("the target can't listen on its address");
    }
    for (std::size_t i = 0; i < stopped_.size(); ++i) {
        processes.push_back(std::make_unique<Process>());
    }
}
void PlannerCluster::end_processes() {
    for (auto& process : processes) {
        process = std::make_unique<Process>();
    }
}
PlannerCluster::~PlannerCluster() {
    end_processes();
    if (!options.keep_folder) {
        std::filesystem::remove_all(folder);
    }
}

std::string PlannerCluster::name_of(int node) const {
    return is_planner(node) ? fmt::format("p{}", node) : fmt::format("h{}", node);
}
int PlannerCluster::node_of(const std::string& name) const {
    return name.empty() ? 0 : std::stoi(name.substr(1));
}
std::string PlannerCluster::folder_of(int planner) const {
    return fmt::format("{}/p{}.disk", folder, planner);
}
std::string PlannerCluster::log_of(int node) const {
    std::ifstream file(fmt::format("{}/{}.log", folder, name_of(node)));
    return {std::istreambuf_iterator<char>(file), {}};
}
std::string PlannerCluster::planner_config_of(int planner) const {
    std::string all;
    for (int i = 1; i <= options.planners; ++i) {
        all +=
            fmt::format("{}{{ name = \"p{}\"; address = \"{}\"; }}", all.empty() ? "" : ", ", i,
                        text_of(at_port(host_of(i), kClusterPort,
                                        options.bypass_relay ? kListenNetwork : kDialedNetwork)));
    }
    return fmt::format(
        "planner = {{ name = \"p{}\"; listen = \"{}\"; address = \"{}\"; folder = \"{}\";\n"
        "  planners = ( {} );\n"
        "  leases = {{ span = {}; drift = {}; claim = {}; absent = 3.0; }};\n"
        "  log = {{ heartbeat = {}; election_least = {}; election_most = {}; keep = 50; }};\n}};\n",
        planner, text_of(at_port(host_of(planner), kClusterPort, kListenNetwork)),
        text_of(at_port(host_of(planner), kClusterPort,
                        options.bypass_relay ? kListenNetwork : kDialedNetwork)),
        folder_of(planner), all, kLeaseDuration, kMaxClockDrift, kClaimTimeout, kHeartbeatInterval,
        kMinElectionTimeout, kMaxElectionTimeout);
}
void PlannerCluster::start(int node, bool founds_cluster) {
    Process& process = *processes[static_cast<std::size_t>(node)];
    if (process.runs()) {
        return;
    }
    const std::string path = fmt::format("{}/{}", folder, name_of(node));
    stopped_[static_cast<std::size_t>(node)] = false;
    if (!is_planner(node)) {
        std::vector<std::string> command{
            options.holder_program,
            "--name",
            name_of(node),
            "--address",
            text_of(at_port(host_of(node), kClusterPort, kDialedNetwork)),
            "--target",
            text_of(at_port(kTargetHost, kTargetPort)),
            "--mark",
            path + ".mark",
            "--planners"};
        for (int i = 1; i <= options.planners; ++i) {
            command.push_back(text_of(at_port(host_of(i), kClusterPort, kDialedNetwork)));
        }
        return process.start(command, path + ".log");
    }
    std::ofstream(path + ".cfg") << planner_config_of(node);
    std::vector<std::string> command{
        "/usr/bin/env",
        "LD_PRELOAD=" + std::filesystem::absolute(options.faulty_disk_library).string(),
        "TIDELINE_BADDISK=" + path + ".bad", "TIDELINE_FSYNCS=" + path + ".fsyncs",
        // In a sanitizer build the address sanitizer's library would have to be preloaded first.
        "ASAN_OPTIONS=verify_asan_link_order=0", options.program, "planner", "--file",
        path + ".cfg"};
    if (founds_cluster) {
        command.emplace_back("--found");
    }
    process.start(command, path + ".log");
}
void PlannerCluster::begin() {
    for (int i = 1; i <= options.planners; ++i) {
        start(i, i == 1);
    }
    for (int i = options.planners + 1; i <= options.planners + options.holders; ++i) {
        start(i);
    }
    if (!run_until(kFormationTimeout,
                   [&] { return is_healthy() && (options.holders == 0 || !actions.empty()); })) {
        throw std::runtime_error("the planners did not elect a leader or grant the lease in time");
    }
    // Scenarios rely on a waiting successor: a lease that is revoked while no other holder waits
    // for it is granted to its former holder again. A holder that requested the lease before the
    // planners had a leader repeats its request only after a backoff of up to 4 s.
    if (!run_until(kFormationTimeout, [&] { return options.holders == 0 || all_holders_wait(); })) {
        throw std::runtime_error("not all other holders wait for the lease");
    }
}

void PlannerCluster::record_action(const std::string& line) {
    std::istringstream fields(line);
    TaskAction action;
    action.arrived_at = net::clock_now();
    if (!(fields >> action.holder >> action.fencing_token >> action.checked_after >>
          action.checked_before)) {
        return;
    }
    action.accepted = action.fencing_token >= highest_token_;
    highest_token_ = std::max(highest_token_, action.fencing_token);
    actions.push_back(action);
}

std::optional<wire::LeaseAnswer> PlannerCluster::send_request(int planner,
                                                              const wire::LeaseAsk& request) {
    planner::PlannerQuery query(loop, at_port(host_of(planner), kClusterPort, kListenNetwork),
                                request);
    run_until(1, [&] { return query.finished; });
    query.close();
    if (!query.answered) {
        return std::nullopt;
    }
    return query.answer;
}
std::optional<wire::PlannerTable> PlannerCluster::table(int planner) {
    if (!processes[static_cast<std::size_t>(planner)]->runs() ||
        stopped_[static_cast<std::size_t>(planner)]) {
        return std::nullopt;
    }
    wire::LeaseAsk request;
    request.set_what(wire::LeaseAsk::TABLE);
    const auto answer = send_request(planner, request);
    if (!answer || answer->table().stale()) {
        return std::nullopt;
    }
    return answer->table();
}
int PlannerCluster::leader() {
    for (int i = 1; i <= options.planners; ++i) {
        if (const auto answer = table(i)) {
            return node_of(answer->leader());
        }
    }
    return 0;
}
bool PlannerCluster::is_healthy() {
    for (int i = 1; i <= options.planners; ++i) {
        const auto answer = table(i);
        if (!answer) {
            continue;
        }
        return answer->planners_size() == options.planners &&
               std::all_of(answer->planners().begin(), answer->planners().end(), [](auto& row) {
                   return row.state() == "votes" || row.state() == "leads";
               });
    }
    return false;
}
bool PlannerCluster::all_holders_wait() {
    const auto answer = table(leader());
    if (!answer) {
        return false;
    }
    const auto& leases = answer->leases();
    const auto task = std::find_if(leases.begin(), leases.end(),
                                   [](auto& each) { return each.name() == kTaskLease; });
    return task != leases.end() && task->waiting_size() == options.holders - 1;
}

bool PlannerCluster::apply_to_process(const Event& event) {
    const std::string& action = event.action;
    const int node = event.argument(0);
    const int nodes = options.planners + options.holders;
    Process& process = *processes[static_cast<std::size_t>(std::min(node, nodes))];
    if (action == "kill") {
        process.signal(SIGKILL);
        process.wait();
        stopped_[static_cast<std::size_t>(node)] = false;
    } else if (action == "start") {
        start(node);
    } else if (action == "term") {
        process.signal(SIGTERM);
    } else if (action == "wipe") {
        std::filesystem::remove_all(folder_of(node));
    } else if (action == "stop") {
        if (process.runs()) {
            process.signal(SIGSTOP);
            stopped_[static_cast<std::size_t>(node)] = true;
        }
    } else if (action == "go") {
        process.signal(SIGCONT);
        stopped_[static_cast<std::size_t>(node)] = false;
    } else if (action == "release-task") {
        process.signal(SIGUSR1);
    } else if (action == "mark") {
        std::ofstream(fmt::format("{}/{}.mark", folder, name_of(node))) << "x";
    } else if (action == "disk") {
        set_disk_fault(node, DiskFault{event.argument(1)});
    } else {
        return false;
    }
    return true;
}
void PlannerCluster::set_disk_fault(int node, DiskFault fault) {
    const std::string path = fmt::format("{}/{}.bad", folder, name_of(node));
    if (fault == DiskFault::none) {
        std::filesystem::remove(path);
    } else {
        std::ofstream(path) << disk_fault_name(fault);
    }
}
bool PlannerCluster::apply_to_links(const Event& event) {
    const std::string& action = event.action;
    const int one = event.argument(0);
    const int other = event.argument(1);
    const int nodes = options.planners + options.holders;
    if (action == "cut") {
        if (one != other) {
            relay.cut({host_of(one), host_of(other)});
        }
    } else if (action == "heal") {
        if (event.arguments.empty()) {
            relay.heal();
        } else {
            relay.heal({host_of(one), host_of(other)});
        }
    } else if (action == "split") {
        for (int a = 1; a <= one; ++a) {
            for (int b = one + 1; b <= nodes; ++b) {
                relay.cut({host_of(a), host_of(b)});
                relay.cut({host_of(b), host_of(a)});
            }
        }
    } else if (action == "slow") {
        for (int peer = 1; peer <= nodes; ++peer) {
            relay.delay({host_of(one), host_of(peer)}, event.arguments[1]);
            relay.delay({host_of(peer), host_of(one)}, event.arguments[1]);
        }
    } else {
        return false;
    }
    return true;
}
void PlannerCluster::apply_as_operator(const Event& event) {
    const bool admit = event.action == "admit";
    if (!admit && event.action != "take-away") {
        return;
    }
    wire::LeaseAsk request;
    request.set_what(admit ? wire::LeaseAsk::ADMIT : wire::LeaseAsk::TAKE_AWAY);
    (admit ? *request.mutable_key() : *request.mutable_lease()) =
        admit ? name_of(event.argument(0)) : kTaskLease;
    if (const int planner = leader(); planner > 0) {
        send_request(planner, request);
    }
}
void PlannerCluster::apply(const Event& event) {
    if (!apply_to_process(event) && !apply_to_links(event)) {
        apply_as_operator(event);
    }
}
void PlannerCluster::run(Seconds duration) {
    run_until(duration, [] { return false; });
}
bool PlannerCluster::run_until(Seconds timeout, const std::function<bool()>& predicate) {
    return fakes::run_until(loop, timeout, predicate);
}
std::vector<std::string> PlannerCluster::addresses() const {
    std::vector<std::string> all;
    for (int i = 1; i <= options.planners; ++i) {
        all.push_back(text_of(at_port(host_of(i), kClusterPort, kDialedNetwork)));
    }
    return all;
}
double PlannerCluster::cpu_of(int node) const {
    return processes[static_cast<std::size_t>(node)]->cpu();
}

}  // namespace tideline::fault_tests
