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
constexpr double kSettlingTime = 3;
constexpr double kTrafficSpan = 5;
constexpr double kHolderLimit = 120;

// The figures of one seed.
struct LeaseFigures {
    double first_acquired = 0;              // s
    double acquired_after_kill = 0;         // s
    double acquired_after_release = 0;      // ms
    double messages_of_holder = 0;          // a second
    double messages_of_waiting_member = 0;  // a second
};

// How long it takes until the lease has a holder, to within `step` seconds.
double time_until_held(LeaseDriver& driver, double step) {
    const double start = driver.now();
    while (driver.holder() < 0 && driver.now() < start + kHolderLimit) {
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
    driver.run(driver.now() + kSettlingTime);
    driver.messages_by_node.clear();
    driver.run(driver.now() + kTrafficSpan);
    const int holder = driver.holder();
    figures.messages_of_holder = driver.messages_by_node[holder] / kTrafficSpan;
    double messages_of_others = 0;
    for (int i = world.planners(); i < world.nodes(); ++i) {
        messages_of_others += i == holder ? 0 : driver.messages_by_node[i];
    }
    figures.messages_of_waiting_member = messages_of_others / kTrafficSpan / waiting;
    driver.run(driver.now() + driver.draw(0, 1));
    driver.kill(holder);
    figures.acquired_after_kill = time_until_held(driver, 0.001);
    driver.run(driver.now() + 2);
    world.set_wanted(driver.holder(), false);
    driver.flush();
    figures.acquired_after_release = time_until_held(driver, 0.0001) * 1e3;
    return figures;
}

// Prints the sizes of a renewal and of its answer, as the production codec makes them.
void print_frame_sizes() {
    wire::Word question;
    wire::Word answer;
    for (auto* message : {&question, &answer}) {
        message->mutable_from()->mutable_self()->set_name("m0123");
        message->mutable_from()->mutable_self()->set_address("127.0.1.123:7801");
    }
    question.mutable_lease_ask()->set_no(1ULL << 61);
    question.mutable_lease_ask()->set_lease("roll-call");
    question.mutable_lease_ask()->set_what(wire::LeaseAsk::RENEW);
    question.mutable_lease_ask()->set_fence(70000);
    question.mutable_lease_ask()->set_member("m0123");
    question.mutable_lease_ask()->set_life(1796167642040);
    answer.mutable_lease_answer()->set_no(1ULL << 61);
    answer.mutable_lease_answer()->set_fence(70000);
    answer.mutable_lease_answer()->set_span(6);
    answer.mutable_lease_answer()->set_cluster(~0ULL);
    fmt::print("a question is a frame of {} bytes, its answer one of {}\n",
               cluster::encode_message(question).size(), cluster::encode_message(answer).size());
}

}  // namespace

void measure_leases(int seeds, const std::vector<int>& waiting) {
    print_frame_sizes();
    fmt::print(
        "virtual time, {} seeds: 5 planners, span 3 s, drift 1%, renewals every 1 s, one that "
        "waits asks every 1 s, ways of 0.2 to 2 ms; median (worst)\n\n"
        "| waiting | to take it first, s | after a kill, s | after a give-back, ms | messages a "
        "second: of the holder | of one that waits |\n| --- | --- | --- | --- | --- | --- |\n",
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
            return spread_of(all, figure).text();
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
