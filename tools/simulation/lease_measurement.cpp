#include <fmt/format.h>

#include <cstdio>
#include <mutex>
#include <vector>

#include "cluster/message_codec.hpp"
#include "simulation/lease_driver.hpp"
#include "simulation/lease_simulation.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

constexpr int kPlanners = 5;
// In seconds of virtual time.
constexpr double kSettlingDuration = 3;
constexpr double kTrafficWindow = 5;
constexpr double kAcquisitionTimeout = 120;

// The figures of one seed.
struct LeaseFigures {
    double first_acquired = 0;              // s
    double acquired_after_kill = 0;         // s
    double acquired_after_release = 0;      // ms
    double messages_of_holder = 0;          // per second
    double messages_of_waiting_member = 0;  // per second
};

// Runs the simulation until the lease has a holder and returns how long that takes, with a
// resolution of `step` seconds.
double time_until_held(LeaseDriver& driver, double step) {
    const double start = driver.now();
    while (driver.holder() < 0 && driver.now() < start + kAcquisitionTimeout) {
        driver.run(driver.now() + step);
    }
    return driver.now() - start;
}

LeaseFigures measure_seed(int waiting, std::uint32_t seed) {
    LeaseDriver driver(lease_simulation_settings(kPlanners, waiting + 1, seed), seed);
    PlannerWorld& world = driver.world;
    for (int i = world.planners(); i < world.nodes(); ++i) {
        world.set_wanted(i, true);
    }
    LeaseFigures figures;
    figures.first_acquired = time_until_held(driver, 0.001);
    driver.run(driver.now() + kSettlingDuration);
    driver.messages_by_node.clear();
    driver.run(driver.now() + kTrafficWindow);
    const int holder = driver.holder();
    figures.messages_of_holder = driver.messages_by_node[holder] / kTrafficWindow;
    double messages_of_others = 0;
    for (int i = world.planners(); i < world.nodes(); ++i) {
        messages_of_others += i == holder ? 0 : driver.messages_by_node[i];
    }
    figures.messages_of_waiting_member = messages_of_others / kTrafficWindow / waiting;
    driver.run(driver.now() + driver.draw(0, 1));
    driver.kill(holder);
    figures.acquired_after_kill = time_until_held(driver, 0.001);
    driver.run(driver.now() + 2);
    world.set_wanted(driver.holder(), false);
    driver.flush();
    figures.acquired_after_release = time_until_held(driver, 0.0001) * 1e3;
    return figures;
}

// Prints the frame sizes of a renewal and of its answer, as the production codec encodes them.
void print_frame_sizes() {
    wire::Word renewal;
    wire::Word answer;
    for (auto* message : {&renewal, &answer}) {
        message->mutable_from()->mutable_self()->set_name("m0123");
        message->mutable_from()->mutable_self()->set_address("127.0.1.123:7801");
    }
    renewal.mutable_lease_ask()->set_no(1ULL << 61);
    renewal.mutable_lease_ask()->set_lease("roll-call");
    renewal.mutable_lease_ask()->set_what(wire::LeaseAsk::RENEW);
    renewal.mutable_lease_ask()->set_fence(70000);
    renewal.mutable_lease_ask()->set_member("m0123");
    renewal.mutable_lease_ask()->set_life(1796167642040);
    answer.mutable_lease_answer()->set_no(1ULL << 61);
    answer.mutable_lease_answer()->set_fence(70000);
    answer.mutable_lease_answer()->set_span(6);
    answer.mutable_lease_answer()->set_cluster(~0ULL);
    fmt::print("a renewal is a frame of {} bytes, its answer one of {} bytes\n",
               cluster::encode_message(renewal).size(), cluster::encode_message(answer).size());
}

}  // namespace

void measure_leases(int seeds, const std::vector<int>& waiting) {
    print_frame_sizes();
    fmt::print(
        "virtual time, {} seeds: 5 planners, lease duration 3 s, drift 1%, a renewal every 1 s, a "
        "request of each waiting member every 1 s, transit times of 0.2 to 2 ms; median (worst)\n\n"
        "| waiting | first acquired after, s | after a kill, s | after a release, ms | messages "
        "per second: of the holder | of a waiting member |\n"
        "| --- | --- | --- | --- | --- | --- |\n",
        seeds);
    for (const int count : waiting) {
        std::mutex mutex;
        std::vector<LeaseFigures> all;
        for_each_seed(1, seeds, [&](std::uint32_t seed) {
            const LeaseFigures figures = measure_seed(count, seed);
            const std::lock_guard guard(mutex);
            all.push_back(figures);
        });
        const auto text = [&](double LeaseFigures::*figure) {
            return collect_spread(all, figure).text();
        };
        fmt::print("| {} | {} | {} | {} | {} | {} |\n", count, text(&LeaseFigures::first_acquired),
                   text(&LeaseFigures::acquired_after_kill),
                   text(&LeaseFigures::acquired_after_release),
                   text(&LeaseFigures::messages_of_holder),
                   text(&LeaseFigures::messages_of_waiting_member));
        std::fflush(stdout);
    }
}

}  // namespace tideline::simulation
