// Executes batches of seeds and aggregates their figures.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace tideline::simulation {

// Calls `call` with each seed, in as many threads as the machine has cores. The calls must guard
// the data that they share. Returns once all calls have returned.
template <class Call>
void for_each_seed(std::uint32_t first, int seeds, Call call) {
    std::atomic<int> next{0};
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
        threads.emplace_back([&] {
            for (int k = next++; k < seeds; k = next++) {
                call(first + static_cast<std::uint32_t>(k));
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

// Samples of one figure.
struct Spread {
    std::vector<double> values;
    // Returns a quantile; `fraction` is from 0 to 1. There must be at least one value.
    double quantile(double fraction) {
        std::sort(values.begin(), values.end());
        return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
    }
    // Formats the spread as "median (worst)".
    std::string text() {
        return values.empty() ? "-" : fmt::format("{:.1f} ({:.1f})", quantile(0.5), quantile(1));
    }
};

// Collects one figure of all seeds.
template <class Figures>
Spread collect_spread(const std::vector<Figures>& all, double Figures::*figure) {
    Spread spread;
    for (const Figures& each : all) {
        spread.values.push_back(each.*figure);
    }
    return spread;
}

}  // namespace tideline::simulation
