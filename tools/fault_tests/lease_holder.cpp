// A lease holder for the fault tests: does one task under a lease, again and again. Before each
// action it checks its guard, and it sends the fencing token with the action to the target. It uses
// the same planner client as a sidecar.
//   SIGUSR1: releases the lease and acquires it again a little later.
//   SIGTERM: releases it and ends.
//   A file at --mark: SIGSTOP to itself once, between guard and action.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>

#include "cli/signals.hpp"
#include "cluster/planner_client.hpp"
#include "lease/clock.hpp"

namespace {

using namespace tideline;

constexpr Seconds kActEvery = 0.01;  // s
constexpr Seconds kWantAgain = 0.4;  // s
const lease::LeaseName kTask{"task"};

volatile std::sig_atomic_t asked_to_give_back = 0;

// The connection to the target, which records the actions.
class Target : public net::TcpConnection {
  public:
    Target(net::EventLoop& loop, const net::Address& address)
        : TcpConnection(loop), address_(address) {
        open(address);
    }
    void say(const std::string& line) {
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
class Holder : cluster::PlannerClient::Owner {
  public:
    Holder(net::EventLoop& loop, net::Log& log, const std::vector<std::string>& planners,
           const std::string& address, const lease::Member& self, const net::Address& target,
           std::string mark)
        : loop_(loop),
          name_(self.name.value),
          mark_(std::move(mark)),
          target_(loop, target),
          tenant_(loop, log, *this, planners, {0.25, 0.5, 0.3}, address, self) {
        tenant_.acquire(kTask);
        act();
    }
    void give_back() {
        tenant_.release_all();
    }
    void give_back_for_a_while() {
        tenant_.release_all();
        loop_.timers.at(net::clock_now() + kWantAgain, [this] { tenant_.acquire(kTask); });
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
    void act() {
        const Seconds before = lease::boottime_now();
        const auto fence = tenant_.may_act(kTask);
        const Seconds after = lease::boottime_now();
        if (fence) {
            // The guard allowed the action, which has not been sent.
            if (!mark_.empty() && std::filesystem::remove(mark_)) {
                std::raise(SIGSTOP);
            }
            target_.say(fmt::format("{} {} {:.6f} {:.6f}\n", name_, fence->value, before, after));
        }
        loop_.timers.at(net::clock_now() + kActEvery, [this] { act(); });
    }
    net::EventLoop& loop_;
    const std::string name_;
    const std::string mark_;
    Target target_;
    cluster::PlannerClient tenant_;
};

}  // namespace

int main(int argc, char** argv) {
    std::string name;
    std::string address;
    std::string target;
    std::string mark;
    std::vector<std::string> planners;
    CLI::App app("A member that does one task under a lease, for the rig.",
                 "tideline_lease_holder");
    app.add_option("--name", name)->required();
    app.add_option("--address", address, "the host it comes from, with any port")->required();
    app.add_option("--planners", planners)->required();
    app.add_option("--target", target, "host:port that its acts go to")->required();
    app.add_option("--mark", mark,
                   "while this file is there, it stands still between guard and act, once");
    CLI11_PARSE(app, argc, argv);
    net::Log log;
    net::EventLoop loop;
    cli::Signals signals(loop);
    std::signal(SIGUSR1, [](int) { asked_to_give_back = 1; });
    const auto incarnation = static_cast<std::uint64_t>(net::clock_now() * 1e3);
    Holder holder(loop, log, planners, address,
                  {lease::Name{name}, lease::Incarnation{incarnation}}, *net::address_of(target),
                  mark);
    while (!signals.shutdown_requested) {
        loop.pass();
        log.flush();
        if (asked_to_give_back) {
            asked_to_give_back = 0;
            holder.give_back_for_a_while();
        }
    }
    holder.give_back();
    bool over = false;
    loop.timers.at(net::clock_now() + 0.2, [&] { over = true; });
    while (!over) {
        loop.pass();
    }
    log.flush();
    return 0;
}
