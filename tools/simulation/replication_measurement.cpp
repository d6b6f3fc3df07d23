#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <mutex>
#include <vector>

#include "simulation/replication_driver.hpp"
#include "simulation/replication_simulation.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

// In seconds of virtual time.
constexpr double kWarmUpDuration = 12;
constexpr double kTrafficWindow = 10;
constexpr double kRepairTimeout = 60;

// The figures of one seed. Messages and bytes are per second.
struct ReplicationFigures {
    double messages_per_member = 0;
    double bytes_per_member = 0;
    double messages_of_busiest = 0;
    double messages_of_repair_coordinator = 0;
    double repaired_after = 0;  // s
};

ReplicationFigures measure_seed(int members, std::uint32_t seed) {
    ReplicationSimulationOptions options;
    options.members = members;
    options.shards = 256;
    options.requests_per_second = 5.0 * members;
    ReplicationDriver driver(options, seed);
    driver.start();
    driver.run(driver.now() + kWarmUpDuration);
    driver.messages_by_node.clear();
    driver.bytes_by_node.clear();
    driver.run(driver.now() + kTrafficWindow);
    ReplicationFigures figures;
    for (int i = 0; i < members; ++i) {
        const double messages = driver.messages_by_node[i] / kTrafficWindow;
        figures.messages_per_member += messages / members;
        figures.bytes_per_member += driver.bytes_by_node[i] / kTrafficWindow / members;
        figures.messages_of_busiest = std::max(figures.messages_of_busiest, messages);
    }
    figures.messages_of_repair_coordinator =
        driver.messages_by_node[driver.repair_coordinator()] / kTrafficWindow;
    const double lost = driver.now();
    driver.kill(driver.fullest_member());
    while (driver.now() < lost + kRepairTimeout && !driver.is_replicated_on_live_members()) {
        driver.run(driver.now() + 0.1);
    }
    figures.repaired_after = driver.now() - lost;
    return figures;
}

}  // namespace

void measure_replication(int seeds, const std::vector<int>& sizes) {
    fmt::print(
        "virtual time, {} seeds; 256 shards, 2 replicas, 5 requests per second and member whose "
        "effects must not be repeated; median (worst)\n\n"
        "| members | messages per second and member | of the busiest member | of the repair "
        "coordinator | bytes sent per second and member | fully replicated after a loss, s |\n"
        "| --- | --- | --- | --- | --- | --- |\n",
        seeds);
    for (const int members : sizes) {
        std::mutex mutex;
        std::vector<ReplicationFigures> all;
        for_each_seed(1, seeds, [&](std::uint32_t seed) {
            const ReplicationFigures figures = measure_seed(members, seed);
            const std::lock_guard guard(mutex);
            all.push_back(figures);
        });
        // Takes the upper median if the number of seeds is even.
        const auto text = [&](double ReplicationFigures::*figure) {
            std::vector<double> values = collect_spread(all, figure).values;
            std::sort(values.begin(), values.end());
            return fmt::format("{:.1f} ({:.1f})", values[values.size() / 2], values.back());
        };
        fmt::print("| {} | {} | {} | {} | {} | {} |\n", members,
                   text(&ReplicationFigures::messages_per_member),
                   text(&ReplicationFigures::messages_of_busiest),
                   text(&ReplicationFigures::messages_of_repair_coordinator),
                   text(&ReplicationFigures::bytes_per_member),
                   text(&ReplicationFigures::repaired_after));
        std::fflush(stdout);
    }
}

}  // namespace tideline::simulation
