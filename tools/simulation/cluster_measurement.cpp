#include "simulation/cluster_measurement.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <mutex>
#include <vector>

#include "simulation/cluster_simulation.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

// In seconds of virtual time.
constexpr Seconds kWarmUpDuration = 10;
constexpr Seconds kCostWindow = 20;
constexpr Seconds kErrorWindow = 60;
constexpr Seconds kDetectionTimeout = 300;

// The figures of one seed. Message, byte and error figures are per member.
struct MembershipFigures {
    double messages_per_second = 0;
    double bytes_per_second = 0;
    Seconds death_detection_time = 0;
    Seconds return_detection_time = 0;
    double suspected_with_loss = 0;
    double gone_with_loss = 0;
    double suspected_when_slow = 0;
    double gone_when_slow = 0;
};

bool all_see_as_present(const SimulatedCluster& cluster, int victim) {
    for (int i = 0; i < cluster.members(); ++i) {
        if (i != victim && cluster.state_of(i, victim) != MemberState::present) {
            return false;
        }
    }
    return true;
}

bool all_see_as_gone(const SimulatedCluster& cluster, int victim) {
    for (int i = 0; i < cluster.members(); ++i) {
        if (i != victim && cluster.state_of(i, victim) != MemberState::gone) {
            return false;
        }
    }
    return true;
}

// Returns how long it takes until all other members see the victim as present, or as gone.
Seconds time_until_known(SimulatedCluster& cluster, int victim, bool present) {
    const Seconds start = cluster.now();
    for (bool known = false; !known && cluster.now() < start + kDetectionTimeout;) {
        cluster.run(cluster.now() + 0.1);
        known = present ? all_see_as_present(cluster, victim) : all_see_as_gone(cluster, victim);
    }
    return cluster.now() - start;
}

void measure_cost_and_detection(const ClusterSimulationSettings& settings,
                                MembershipFigures& figures) {
    SimulatedCluster cluster(settings);
    cluster.run(cluster.now() + kWarmUpDuration);
    cluster.reset_figures();
    cluster.run(cluster.now() + kCostWindow);
    const double members = settings.members;
    figures.messages_per_second =
        static_cast<double>(cluster.figures().messages) / members / kCostWindow;
    figures.bytes_per_second = cluster.figures().bytes / members / kCostWindow;
    const int victim = settings.members / 2;
    cluster.kill(victim);
    figures.death_detection_time = time_until_known(cluster, victim, false);
    cluster.start(victim);
    figures.return_detection_time = time_until_known(cluster, victim, true);
}

// Counts false suspicions, once for each member that learns of one.
void measure_errors(const ClusterSimulationSettings& settings, double& suspected, double& gone) {
    SimulatedCluster cluster(settings);
    cluster.run(cluster.now() + kWarmUpDuration);
    cluster.reset_figures();
    cluster.run(cluster.now() + kErrorWindow);
    const double members = settings.members;
    suspected = static_cast<double>(cluster.figures().suspected) / members;
    gone = static_cast<double>(cluster.figures().taken_for_gone) / members;
}

MembershipFigures measure_seed(int members, std::uint32_t seed) {
    ClusterSimulationSettings settings;
    settings.members = members;
    settings.seed = seed;
    ClusterSimulationSettings with_loss = settings;
    with_loss.loss = 0.05;
    ClusterSimulationSettings with_slow_members = settings;
    with_slow_members.slow_share = 0.1;
    MembershipFigures figures;
    measure_cost_and_detection(settings, figures);
    measure_errors(with_loss, figures.suspected_with_loss, figures.gone_with_loss);
    measure_errors(with_slow_members, figures.suspected_when_slow, figures.gone_when_slow);
    return figures;
}

}  // namespace

void measure_membership(int members, int seeds) {
    std::mutex mutex;
    std::vector<MembershipFigures> all;
    for_each_seed(1, seeds, [&](std::uint32_t seed) {
        const MembershipFigures figures = measure_seed(members, seed);
        const std::lock_guard guard(mutex);
        all.push_back(figures);
    });
    const auto text = [&](double MembershipFigures::*figure) {
        return collect_spread(all, figure).text();
    };
    fmt::print(
        "| {} | roll | {} | {} | {} | {} | {} | {} | {} | {} |\n", members,
        text(&MembershipFigures::messages_per_second), text(&MembershipFigures::bytes_per_second),
        text(&MembershipFigures::death_detection_time),
        text(&MembershipFigures::return_detection_time),
        text(&MembershipFigures::suspected_with_loss), text(&MembershipFigures::gone_with_loss),
        text(&MembershipFigures::suspected_when_slow), text(&MembershipFigures::gone_when_slow));
    std::fflush(stdout);
}

}  // namespace tideline::simulation
