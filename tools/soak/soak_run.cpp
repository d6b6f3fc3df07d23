#include "soak/soak_run.hpp"

#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>

#include "fakes/fake_discovery.hpp"
#include "fakes/fake_endpoint.hpp"
#include "fakes/fake_release_platform.hpp"
#include "fakes/loopback.hpp"
#include "fakes/process.hpp"
#include "fakes/run_until.hpp"
#include "fakes/sidecar_settings.hpp"
#include "soak/soak_clients.hpp"

namespace tideline::soak {
namespace {

using namespace fakes;
using nlohmann::json;

constexpr int kEndpointCount = 4;
constexpr int kSteadyConnections = 8;
constexpr int kCrowdConnections = 150;
constexpr int kSocketLimit = 512;
constexpr int kLowSocketLimit = 96;
// With every third seed the sidecar may use only few sockets.
constexpr std::uint32_t kSeedsPerLowSocketLimit = 3;
// s: for how long after SIGTERM clients still open connections.
constexpr Seconds kReconnectDuration = 0.3;
// s: the shortest time from SIGTERM to SIGKILL that the protocol allows, which is the longest time
// limit plus 0.7 s.
constexpr Seconds kMinKillDelay = 1.5 + 0.7;
constexpr Seconds kServingTimeout = 12;
constexpr Seconds kHangDuration = 30;  // the latency of endpoints that hang
// s: the drain grace of the settings, plus how long a process may be suspended.
constexpr Seconds kDrainGrace = 0.5 + 0.15;

class SoakRun {
  public:
    explicit SoakRun(const SoakOptions& options);
    SoakResult run();

  private:
    void set_up_fakes();
    void write_config();
    void start_process();
    void await_shutdown();
    void record_process_end();
    void apply_step(const Step& step);
    void terminate_and_restart(int second_signal, Seconds gap);
    void change_discovery_address();
    void announce_change();
    void drain_endpoint();
    void set_hanging(bool hanging);
    void run_for(Seconds span) {
        run_until(loop_, span, [] { return false; });
    }
    SidecarProcess& process_record() {
        return result_.record.processes.back();
    }

    const SoakOptions& options_;
    net::EventLoop loop_;
    SoakResult result_;
    FakeDiscovery discovery_{loop_};
    FakeReleasePlatform platform_{loop_};
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints_;
    std::vector<std::string> endpoint_ids_;
    std::unique_ptr<SoakClients> clients_;
    Process process_;
    int discovery_in_use_ = 0;
    int remaining_muted_steps_ = 0;
    int drain_count_ = 0;
    bool is_draining_ = false;
    std::uintmax_t log_size_ = 0;
};

SoakRun::SoakRun(const SoakOptions& options) : options_(options) {
    char folder[] = "/tmp/tideline-soak-XXXXXX";
    if (!::mkdtemp(folder)) {
        throw std::runtime_error("can't create a folder under /tmp");
    }
    result_.folder = folder;
    result_.record.drain_grace = kDrainGrace;
    set_up_fakes();
    clients_ =
        std::make_unique<SoakClients>(loop_, result_.record, at_port(257, 5433), options.seed);
}

void SoakRun::set_up_fakes() {
    bool listening = discovery_.add_listener(at_port(1, 8500)) >= 0 &&
                     discovery_.add_listener(at_port(2, 8500)) >= 0 &&
                     platform_.add_listener(at_port(1, 6400)) >= 0;
    platform_.advances_by_votes = false;
    for (int i = 0; i < kEndpointCount; ++i) {
        endpoints_.push_back(
            std::make_unique<FakeEndpoint>(loop_, options_.seed + static_cast<std::uint32_t>(i)));
        endpoints_.back()->build = 41;
        listening = listening && endpoints_.back()->listen(at_port(512 + i, 5432));
        endpoint_ids_.push_back(fmt::format("pod-{}", i));
        discovery_.put(endpoint_entry(endpoint_ids_.back(), text_of(at_port(512 + i, 5432)), 41));
    }
    if (!listening) {
        throw std::runtime_error("can't listen at an address of the fakes");
    }
}

void SoakRun::write_config() {
    const json config = {
        {"name", "n1"},
        {"listen", text_of(at_port(257, 5433))},
        {"discovery", text_of(at_port(1 + discovery_in_use_, 8500))},
        {"seed", fmt::format("8c1f30d2{:08x}", options_.seed)},
        {"limits",
         {{"sockets",
           options_.seed % kSeedsPerLowSocketLimit == 0 ? kLowSocketLimit : kSocketLimit}}},
        {"deployer", {{"address", text_of(at_port(1, 6400))}, {"news", platform_.state()}}},
        {"known", discovery_.snapshot()},
        {"settings", settings(1)}};
    const std::string path = result_.folder + "/config.json";
    std::ofstream(path + ".new") << config.dump();
    std::filesystem::rename(path + ".new", path);
}

void SoakRun::start_process() {
    write_config();
    const std::string log = result_.folder + "/log";
    std::error_code missing;
    log_size_ = std::filesystem::exists(log) ? std::filesystem::file_size(log, missing) : 0;
    result_.record.processes.push_back({});
    process_record().started_at = net::clock_now();
    process_.start({options_.program, "sidecar", "--config", result_.folder + "/config.json"}, log);
    // A change confirms the endpoint list to a sidecar that has just connected. Without one this
    // takes 2.1 s, which is longer than most processes of a soak run.
    for (const Seconds after : {0.1, 0.4, 0.8}) {
        loop_.timers.at(net::clock_now() + after, [this] { announce_change(); });
    }
    clients_->on_process_started();
    clients_->set_reconnecting(true);
}

// Waits for the end of the process after the first SIGTERM. It has to serve its connected clients
// on and to end before the earliest SIGKILL.
void SoakRun::await_shutdown() {
    const Seconds sigterm_at = *process_record().sigterm_at;
    run_until(loop_, sigterm_at + kReconnectDuration - net::clock_now(),
              [&] { return !process_.runs(); });
    clients_->set_reconnecting(false);
    run_until(loop_, sigterm_at + kMinKillDelay - net::clock_now(),
              [&] { return !process_.runs(); });
    if (process_.runs()) {
        process_record().overdue = true;
        process_.signal(SIGKILL);
    }
    record_process_end();
}

void SoakRun::record_process_end() {
    process_record().exit_status = process_.wait();
    process_record().ready_at =
        process_record().ready_at ? process_record().ready_at : clients_->first_answer_at();
    const std::string log = result_.folder + "/log";
    process_record().wrote_log =
        std::filesystem::exists(log) && std::filesystem::file_size(log) > log_size_;
}

void SoakRun::terminate_and_restart(int second_signal, Seconds gap) {
    process_record().sigterm_at = net::clock_now();
    process_.signal(SIGTERM);
    run_for(gap);
    if (second_signal != 0) {
        process_.signal(second_signal);
    }
    await_shutdown();
    start_process();
}

void SoakRun::change_discovery_address() {
    discovery_in_use_ = 1 - discovery_in_use_;
    write_config();
    process_.signal(SIGHUP);
}

// Lists an endpoint again as it was: a change of the list that makes no difference to sidecars.
void SoakRun::announce_change() {
    const std::size_t last = endpoint_ids_.size() - 1;
    if (!is_draining_) {
        discovery_.put(endpoint_entry(endpoint_ids_[last],
                                      text_of(at_port(512 + static_cast<int>(last), 5432)), 41));
    }
}

// Lists an endpoint as draining, removes it, and lists the same server under another id.
void SoakRun::drain_endpoint() {
    const int index = drain_count_++ % kEndpointCount;
    std::string& id = endpoint_ids_[static_cast<std::size_t>(index)];
    const std::string address = text_of(at_port(512 + index, 5432));
    json entry = endpoint_entry(id, address, 41);
    entry["phase"] = "Draining";
    const Seconds from = net::clock_now();
    is_draining_ = true;
    discovery_.put(entry);
    run_for(1.2);
    discovery_.remove(id);
    run_for(0.2);
    result_.record.drains.push_back({index, from, net::clock_now()});
    id = fmt::format("pod-{}-{}", index, drain_count_);
    discovery_.put(endpoint_entry(id, address, 41));
    is_draining_ = false;
}

void SoakRun::set_hanging(bool hanging) {
    for (auto& endpoint : endpoints_) {
        endpoint->min_latency = hanging ? kHangDuration : 0.004;
        endpoint->max_latency = hanging ? kHangDuration : 0.012;
    }
}

void SoakRun::apply_step(const Step& step) {
    run_for(step.pause);
    if (remaining_muted_steps_ > 0 && --remaining_muted_steps_ == 0) {
        discovery_.mute(0, false);
        discovery_.mute(1, false);
    }
    switch (step.kind) {
        case StepKind::term:
            return terminate_and_restart(0, 0);
        case StepKind::term_twice:
            return terminate_and_restart(SIGTERM, step.argument);
        case StepKind::hup_series:
            for (int i = 0; i < 3; ++i) {
                change_discovery_address();
                run_for(step.argument);
            }
            return;
        case StepKind::hup_then_term:
            process_.signal(SIGHUP);
            return terminate_and_restart(0, 0);
        case StepKind::term_then_hup:
            return terminate_and_restart(SIGHUP, 0);
        case StepKind::move_then_term:
            change_discovery_address();
            run_for(step.argument);
            return terminate_and_restart(0, 0);
        case StepKind::early_term:
            terminate_and_restart(0, 0);
            run_for(step.argument);
            return terminate_and_restart(0, 0);
        case StepKind::stop_in_shutdown:
            process_record().sigterm_at = net::clock_now();
            process_.signal(SIGTERM);
            process_.signal(SIGSTOP);
            run_for(step.argument);
            process_.signal(SIGCONT);
            await_shutdown();
            return start_process();
        case StepKind::kill:
            process_record().killed = true;
            process_.signal(SIGKILL);
            clients_->on_process_killed();
            record_process_end();
            return start_process();
        case StepKind::crowd:
            clients_->keep_connections_open(kCrowdConnections);
            run_for(0.3);
            return clients_->keep_connections_open(kSteadyConnections);
        case StepKind::hang:
            set_hanging(true);
            run_for(0.2);
            terminate_and_restart(0, 0);
            return set_hanging(false);
        case StepKind::mute:
            discovery_.mute(0, true);
            discovery_.mute(1, true);
            remaining_muted_steps_ = 2;
            return;
        case StepKind::drain:
            if (remaining_muted_steps_ == 0) {
                drain_endpoint();
            }
            return;
    }
}

SoakResult SoakRun::run() {
    start_process();
    clients_->keep_connections_open(kSteadyConnections);
    for (const Step& step : options_.schedule) {
        apply_step(step);
    }
    run_until(loop_, kServingTimeout, [&] { return clients_->first_answer_at().has_value(); });
    process_record().ready_at = clients_->first_answer_at().value_or(net::clock_now());
    run_for(0.5);
    clients_->stop();
    run_until(loop_, 3, [&] { return !clients_->has_open_request(); });
    process_record().sigterm_at = net::clock_now();
    process_.signal(SIGTERM);
    await_shutdown();
    for (int i = 0; i < kEndpointCount; ++i) {
        for (const ReceivedRequest& received : endpoints_[static_cast<std::size_t>(i)]->received) {
            result_.record.attempts.push_back(
                {received.at, received.request_id, received.request_class, i});
        }
    }
    return std::move(result_);
}

}  // namespace

SoakResult run_soak(const SoakOptions& options) {
    return SoakRun(options).run();
}

}  // namespace tideline::soak
