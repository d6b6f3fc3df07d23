// A lease holder for the fault tests. It repeats one action under a lease: before each action it
// checks that it still holds the lease (the guard), and it sends the fencing token with the action
// to the target. It uses the same planner client as a sidecar.
//   SIGUSR1: releases the lease and acquires it again a little later.
//   SIGTERM: releases the lease and exits.
//   A file at the path of --mark: the holder removes it and stops itself once (SIGSTOP), between
//   the guard and the action.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>

#include "cli/signals.hpp"
#include "cluster/planner_client.hpp"
#include "lease/clock.hpp"

namespace {

using namespace tideline;

constexpr Seconds kActionInterval = 0.01;
constexpr Seconds kReacquireDelay = 0.4;
const lease::LeaseName kTaskLease{"task"};

volatile std::sig_atomic_t release_requested = 0;

// The connection to the target, the process that records the actions.
class ActionTarget : public net::TcpConnection {
  public:
    ActionTarget(net::EventLoop& loop, const net::Address& address)
        : TcpConnection(loop), address_(address) {
        open(address);
    }
    void send_line(const std::string& line) {
        if (closed()) {
            open(address_);
        }
        put(line);
    }

  protected:
    void on_received() override {
        in_.drop(in_.size());
    }
    void on_closed() override {}

  private:
    const net::Address address_;
};

// Owns the planner client and the connection to the target.
class LeaseHolder : cluster::PlannerClient::Owner {
  public:
    LeaseHolder(net::EventLoop& loop, net::Log& log, const std::vector<std::string>& planners,
                const std::string& address, const lease::Member& self, const net::Address& target,
                std::string mark_path)
        : loop_(loop),
          name_(self.name.value),
          mark_path_(std::move(mark_path)),
          target_(loop, target),
          planner_client_(loop, log, *this, planners, {0.25, 0.5, 0.3}, address, self) {
        planner_client_.acquire(kTaskLease);
        act_if_allowed();
    }
    void release_leases() {
        planner_client_.release_all();
    }
    void release_leases_temporarily() {
        planner_client_.release_all();
        loop_.timers.at(net::clock_now() + kReacquireDelay,
                        [this] { planner_client_.acquire(kTaskLease); });
    }

  private:
    void on_lease_acquired(const lease::LeaseName&, lease::FencingToken) override {}
    void on_lease_lost(const lease::LeaseName&, lease::FencingToken) override {}
    void on_alarm_committed(const lease::LeaseName&, const std::string&, bool, bool) override {}
    void on_raised_alarms(const lease::LeaseName&, const std::set<std::string>&) override {}
    void on_holder_changed(const lease::LeaseName&, const lease::Name&, lease::FencingToken,
                           std::uint64_t) override {}
    void on_document_written(const lease::LeaseName&, std::uint64_t, bool) override {}
    void on_document_read(const lease::LeaseName&, std::uint64_t, const std::string&) override {}
    void act_if_allowed() {
        const Seconds checked_after = lease::boottime_now();
        const auto token = planner_client_.may_act(kTaskLease);
        const Seconds checked_before = lease::boottime_now();
        if (token) {
            // The guard has allowed the action, which has not been sent yet.
            if (!mark_path_.empty() && std::filesystem::remove(mark_path_)) {
                std::raise(SIGSTOP);
            }
            target_.send_line(fmt::format("{} {} {:.6f} {:.6f}\n", name_, token->value,
                                          checked_after, checked_before));
        }
        loop_.timers.at(net::clock_now() + kActionInterval, [this] { act_if_allowed(); });
    }
    net::EventLoop& loop_;
    const std::string name_;
    const std::string mark_path_;
    ActionTarget target_;
    cluster::PlannerClient planner_client_;
};

}  // namespace

int main(int argc, char** argv) {
    std::string name;
    std::string address;
    std::string target;
    std::string mark_path;
    std::vector<std::string> planners;
    CLI::App app("Repeats one action under a lease, for the fault tests.", "tideline_lease_holder");
    app.add_option("--name", name)->required();
    app.add_option("--address", address, "address to connect from; the port is ignored")
        ->required();
    app.add_option("--planners", planners)->required();
    app.add_option("--target", target, "host:port that the actions are sent to")->required();
    app.add_option("--mark", mark_path,
                   "if this file exists, stop once between the guard and the action");
    CLI11_PARSE(app, argc, argv);
    net::Log log;
    net::EventLoop loop;
    cli::Signals signals(loop);
    std::signal(SIGUSR1, [](int) { release_requested = 1; });
    const auto incarnation = static_cast<std::uint64_t>(net::clock_now() * 1e3);
    LeaseHolder holder(loop, log, planners, address,
                       {lease::Name{name}, lease::Incarnation{incarnation}},
                       *net::address_of(target), mark_path);
    while (!signals.shutdown_requested) {
        loop.pass();
        log.flush();
        if (release_requested) {
            release_requested = 0;
            holder.release_leases_temporarily();
        }
    }
    holder.release_leases();
    bool wait_elapsed = false;
    loop.timers.at(net::clock_now() + 0.2, [&] { wait_elapsed = true; });
    while (!wait_elapsed) {
        loop.pass();
    }
    log.flush();
    return 0;
}
