#include "demo/rollout.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

#include "demo/machine_loss.hpp"
#include "fakes/fake_clients.hpp"
#include "fakes/fake_discovery.hpp"
#include "fakes/fake_endpoint.hpp"
#include "fakes/fake_release_platform.hpp"
#include "fakes/process.hpp"
#include "fakes/sidecar_settings.hpp"

namespace tideline::demo {
namespace {

using namespace fakes;

double quantile_of(std::vector<double> values, double quantile) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

// Owns the processes of one demonstration and the fakes around them.
class Rollout {
  public:
    explicit Rollout(const Options& options);
    // The steps of the demonstration, in the order in which they have to be called. Those that have
    // results print them.
    void start_planners();
    void start_sidecars();
    void wait_until_placed();
    void run_rollout();
    void print_client_results();
    void print_audit();
    void print_leases();
    void lose_machine();
    void stop_processes();
    // Prints and returns whether everything was as expected. If it was, removes the folder.
    bool report_outcome();

  private:
    void add_endpoints(int build);
    std::string planner_list() const;
    std::string planner_addresses() const;
    nlohmann::json sidecar_settings(int sidecar) const;
    std::string cluster_config(int sidecar) const;
    bool has_acquired_lease(const std::string& lease) const;
    std::string votes_of(std::size_t sidecar) const;

    const Options& options_;
    const std::string folder_;
    net::EventLoop loop_;
    FakeDiscovery discovery_{loop_};
    FakeReleasePlatform platform_{loop_};
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
    Effects effects_;
    std::vector<std::unique_ptr<Process>> planners_;
    std::vector<std::unique_ptr<Process>> sidecars_;
    std::vector<std::unique_ptr<FakeClients>> clients_;

    std::size_t unanswered_ = 0;
    std::size_t succeeded_ = 0;
    bool leases_held_ = true;
    int lost_sidecar_ = -1;
    bool machine_loss_passed_ = true;
    int failed_exits_ = 0;
};

std::string create_folder() {
    char folder[] = "/tmp/tideline-try-XXXXXX";
    if (!::mkdtemp(folder)) {
        throw std::runtime_error("can't create a folder under /tmp");
    }
    return folder;
}

// Prints and runs a shell command, which prints its own output. Returns its exit status.
int run_command(const std::string& command) {
    fmt::print("\n$ {}\n", command);
    std::fflush(stdout);
    return std::system(command.c_str());
}

Rollout::Rollout(const Options& options) : options_(options), folder_(create_folder()) {
    effects_.repeatable = {"instalment"};
    add_endpoints(kCurrentBuild);
    platform_.votes_to_advance = std::max(1, options_.sidecars / 2 + 1);
}

void Rollout::add_endpoints(int build) {
    for (int i = 0; i < kEndpointsPerBuild; ++i) {
        const int host = 512 + static_cast<int>(endpoints_.size());
        endpoints_.push_back(
            std::make_unique<FakeEndpoint>(loop_, static_cast<std::uint32_t>(host)));
        if (!endpoints_.back()->listen(at_port(host, kEndpointPort))) {
            throw std::runtime_error("can't listen at the address of a fake endpoint");
        }
        endpoints_.back()->effects = &effects_;
        if (options_.trial_fails && build == kTrialBuild) {
            endpoints_.back()->failure_share = 0.4;
        }
        discovery_.put(endpoint_entry(fmt::format("pod-{}", endpoints_.size()),
                                      text_of(at_port(host, kEndpointPort)), build));
    }
}

std::string Rollout::planner_list() const {
    std::string list;
    for (int i = 0; i < options_.planners; ++i) {
        list += fmt::format("{}{{ name = \"p{}\"; address = \"{}\"; }}", i ? ", " : "", i,
                            text_of(at_port(kFirstPlannerHost + i, kPlannerPort)));
    }
    return list;
}
std::string Rollout::planner_addresses() const {
    std::string addresses;
    for (int i = 0; i < options_.planners; ++i) {
        addresses += fmt::format("{}\"{}\"", i ? ", " : "",
                                 text_of(at_port(kFirstPlannerHost + i, kPlannerPort)));
    }
    return addresses;
}
void Rollout::start_planners() {
    for (int i = 0; i < options_.planners; ++i) {
        const std::string path = fmt::format("{}/p{}", folder_, i);
        std::ofstream(path + ".cfg") << fmt::format(
            "planner = {{ name = \"p{}\"; listen = \"{}\"; folder = \"{}.disk\"; planners = ( {} "
            ");\n"
            "  leases = {{ span = 3.0; }}; }};\n",
            i, text_of(at_port(kFirstPlannerHost + i, kPlannerPort)), path, planner_list());
        std::vector<std::string> command{options_.program, "planner", "--file", path + ".cfg"};
        if (i == 0) {
            command.emplace_back("--found");
        }
        planners_.push_back(std::make_unique<Process>());
        planners_.back()->start(command, path + ".log");
    }
}

nlohmann::json Rollout::sidecar_settings(int sidecar) const {
    const int host = 256 + sidecar;
    return {{"name", fmt::format("n{}", sidecar)},
            {"listen", text_of(at_port(host, kClientPort))},
            {"discovery", text_of(at_port(host, kDiscoveryPort))},
            {"seed", fmt::format("{:x}", 1000 + sidecar)},
            {"limits", {{"sockets", 512}}},
            {"deployer",
             {{"address", text_of(at_port(host, kPlatformPort))}, {"news", platform_.state()}}},
            {"known", discovery_.snapshot()},
            {"settings", settings(options_.sidecars)}};
}
std::string Rollout::cluster_config(int sidecar) const {
    std::string planners;
    if (!planners_.empty()) {
        planners =
            fmt::format("planners = {{ addresses = [{}]; ask_again = 0.5; roll_call = 1.0; }};",
                        planner_addresses());
    }
    std::string replicas;
    if (options_.replicas > 0) {
        replicas = fmt::format(
            "folder = \"{}/n{}.disk\"; copies = {{ copies = {}; absent = 2.0; "
            "review = 0.2; rest = 2.0; slots = 32; }};",
            folder_, sidecar, options_.replicas);
    }
    return fmt::format(
        "fleet = {{ member = \"n{0}\"; place = \"p{0}\"; listen = \"{1}\"; seeds = "
        "[\"{2}\"];\n"
        "  membership = {{ period = 0.2; answer_wait = 0.08; }}; {3} {4} }};\n",
        sidecar, text_of(at_port(256 + sidecar, kClusterPort)), text_of(at_port(256, kClusterPort)),
        planners, replicas);
}
void Rollout::start_sidecars() {
    for (int i = 0; i < options_.sidecars; ++i) {
        const int host = 256 + i;
        if (discovery_.add_listener(at_port(host, kDiscoveryPort)) < 0 ||
            platform_.add_listener(at_port(host, kPlatformPort)) < 0) {
            throw std::runtime_error(
                "can't listen at the address of the fake discovery or release platform");
        }
        const std::string path = fmt::format("{}/n{}", folder_, i);
        std::ofstream(path + ".json") << sidecar_settings(i).dump(1);
        std::vector<std::string> command{options_.program, "sidecar", "--config", path + ".json"};
        if (options_.cluster) {
            std::ofstream(path + ".cfg") << cluster_config(i);
            command.insert(command.end(), {"--fleet", path + ".cfg"});
        }
        sidecars_.push_back(std::make_unique<Process>());
        sidecars_.back()->start(command, path + ".log");
        clients_.push_back(std::make_unique<FakeClients>(loop_, at_port(host, kClientPort),
                                                         fmt::format("c{}", i),
                                                         static_cast<std::uint32_t>(7 + i)));
    }
    run_loop_for(loop_, 0.5);
    for (const auto& each : sidecars_) {
        if (!each->runs()) {
            throw std::runtime_error(
                fmt::format("a sidecar did not start; its log is in {}", folder_));
        }
    }
}

// Waits until all replicas are placed. Before that, sidecars reject requests that must not run
// twice.
void Rollout::wait_until_placed() {
    const Seconds deadline = net::clock_now() + (options_.replicas > 0 ? kPlacementTimeout : 0);
    while (net::clock_now() < deadline &&
           std::system(fmt::format("{} holdings --at {} >/dev/null 2>&1", options_.program,
                                   text_of(at_port(256, kClusterPort)))
                           .c_str()) != 0) {
        run_loop_for(loop_, 0.3);
    }
}

void Rollout::run_rollout() {
    for (auto& each : clients_) {
        each->begin(options_.rate);
    }
    const Seconds start = net::clock_now();
    fmt::print(
        "{} sidecars, {} endpoints of build {}, {:.0f} requests per second; build {} is offered "
        "after {} s{}\n",
        options_.sidecars, kEndpointsPerBuild, kCurrentBuild, options_.rate * options_.sidecars,
        kTrialBuild, kTrialStartDelay,
        options_.trial_fails ? " and fails 40% of its attempts" : "");
    run_loop_for(loop_, start + kTrialStartDelay - net::clock_now());
    add_endpoints(kTrialBuild);
    platform_.offer(kTrialBuild);
    run_loop_for(loop_, start + options_.duration - net::clock_now());
    for (auto& each : clients_) {
        each->stop();
    }
    run_loop_for(loop_, 1.6);
}

std::string Rollout::votes_of(std::size_t sidecar) const {
    std::map<std::string, int> votes;
    for (const ReceivedVote& each : platform_.votes) {
        if (each.listener == static_cast<int>(sidecar)) {
            ++votes[each.vote == "approve" ? "on" : each.vote == "reject" ? "back" : "none"];
        }
    }
    std::string text;
    for (const auto& [vote, times] : votes) {
        text += fmt::format("{}{} x{}", text.empty() ? "" : ", ", vote, times);
    }
    return text;
}
void Rollout::print_client_results() {
    fmt::print("\n{:8} {:>6} {:>10} {:>10} {:>11} {:>10} {:>8} {:>8} {:>16}\n", "sidecar", "taken",
               "succeeded", "throttled", "terminated", "unanswered", "p50 ms", "p99 ms", "votes");
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        std::map<CallResult, int> count;
        std::vector<double> latencies_ms;
        for (const ClientRequest& each : clients_[i]->requests) {
            ++count[each.result];
            if (each.result == CallResult::succeeded) {
                latencies_ms.push_back(each.latency * 1e3);
            }
        }
        const int unanswered = count[CallResult::nothing] + count[CallResult::wrong];
        fmt::print("{:8} {:>6} {:>10} {:>10} {:>11} {:>10} {:>8.1f} {:>8.1f} {:>16}\n",
                   fmt::format("n{}", i), clients_[i]->requests.size(),
                   count[CallResult::succeeded], count[CallResult::rejected],
                   count[CallResult::failed], unanswered, quantile_of(latencies_ms, 0.5),
                   quantile_of(latencies_ms, 0.99), votes_of(i));
        unanswered_ += static_cast<std::size_t>(unanswered);
        succeeded_ += static_cast<std::size_t>(count[CallResult::succeeded]);
    }
}

void Rollout::print_audit() {
    if (!options_.cluster) {
        return;
    }
    const std::string audit =
        fmt::format("{} audit --at {}", options_.program, text_of(at_port(256, kClusterPort)));
    if (run_command(audit) != 0) {
        fmt::print("the audit reports members that lag behind or could not be queried\n");
    }
}

bool Rollout::has_acquired_lease(const std::string& lease) const {
    for (int i = 0; i < options_.sidecars; ++i) {
        std::ifstream log(fmt::format("{}/n{}.log", folder_, i));
        const std::string text{std::istreambuf_iterator<char>(log), {}};
        if (text.find(fmt::format("lease acquired: lease={} token=", lease)) != std::string::npos) {
            return true;
        }
    }
    return false;
}
void Rollout::print_leases() {
    if (planners_.empty()) {
        return;
    }
    const std::string planner_address = text_of(at_port(kFirstPlannerHost + 1, kPlannerPort));
    for (const char* command : {"planners list", "lease list"}) {
        leases_held_ &= run_command(fmt::format("{} {} --at {}", options_.program, command,
                                                planner_address)) == 0;
    }
    for (const char* lease : {"roll-call", "warming"}) {
        leases_held_ &= has_acquired_lease(lease);
    }
    if (!leases_held_) {
        fmt::print("a lease was not acquired, or the planners could not be queried\n");
    }
}

void Rollout::lose_machine() {
    if (options_.replicas == 0) {
        return;
    }
    lost_sidecar_ = 1;
    machine_loss_passed_ =
        demonstrate_machine_loss(options_, folder_, loop_, effects_, endpoints_, *sidecars_[1]);
}

void Rollout::stop_processes() {
    const auto state = platform_.state();
    fmt::print("\nbuild {}: {}, stage {}, cap {}\n", state["version"].get<int>(),
               state["status"].get<std::string>(), state["step"].get<int>(),
               state["maxWeight"].get<double>());
    for (auto& each : sidecars_) {
        each->signal(SIGTERM);
    }
    run_loop_for(loop_, 1.5);
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        failed_exits_ +=
            static_cast<int>(i) != lost_sidecar_ && sidecars_[i]->ended() != std::optional<int>(0);
    }
    for (auto& each : planners_) {
        each->signal(SIGTERM);
    }
    run_loop_for(loop_, planners_.empty() ? 0 : 0.3);
    for (auto& each : planners_) {
        failed_exits_ += each->ended() != std::optional<int>(0);
    }
    if (failed_exits_ > 0) {
        fmt::print("{} processes did not end with status 0; their logs are in {}\n", failed_exits_,
                   folder_);
    }
}

bool Rollout::report_outcome() {
    const auto state = platform_.state();
    const std::string expected_status = options_.trial_fails ? "revert" : "stable";
    const bool passed = unanswered_ == 0 && succeeded_ > 0 && failed_exits_ == 0 && leases_held_ &&
                        machine_loss_passed_ && state["version"] == kTrialBuild &&
                        state["status"].get<std::string>().starts_with(expected_status);
    if (passed) {
        std::filesystem::remove_all(folder_);
    }
    fmt::print("{}\n", passed ? "the demonstration succeeded"
                              : fmt::format("the demonstration failed; logs are in {}", folder_));
    return passed;
}

}  // namespace

int run_demonstration(const Options& options) {
    std::signal(SIGPIPE, SIG_IGN);
    Rollout rollout(options);
    rollout.start_planners();
    rollout.start_sidecars();
    rollout.wait_until_placed();
    rollout.run_rollout();
    rollout.print_client_results();
    rollout.print_audit();
    rollout.print_leases();
    rollout.lose_machine();
    rollout.stop_processes();
    return rollout.report_outcome() ? 0 : 1;
}

}  // namespace tideline::demo
