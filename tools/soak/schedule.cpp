#include "soak/schedule.hpp"

#include <fmt/format.h>

#include <array>
#include <random>

namespace tideline::soak {
namespace {

constexpr std::array<const char*, 13> kNames = {
    "term",       "term-twice",       "hup-series", "hup-then-term", "term-then-hup", "move-term",
    "early-term", "stop-in-shutdown", "kill",       "crowd",         "hang",          "mute",
    "drain"};

Seconds argument_of(StepKind kind, std::mt19937& random) {
    constexpr std::array<Seconds, 3> kSignalGaps = {0.001, 0.01, 0.1};
    const auto gap = kSignalGaps[random() % kSignalGaps.size()];
    std::uniform_real_distribution<Seconds> short_span(0, 0.3);
    switch (kind) {
        case StepKind::term_twice:
        case StepKind::hup_series:
        case StepKind::move_then_term:
            return gap;
        case StepKind::early_term:
            return short_span(random);
        case StepKind::stop_in_shutdown:
            return short_span(random) / 2;
        default:
            return 0;
    }
}

}  // namespace

std::vector<Step> draw_schedule(std::uint32_t seed, int steps) {
    std::mt19937 random(seed);
    std::uniform_real_distribution<Seconds> pause(0.2, 1.5);
    std::vector<Step> schedule;
    for (int i = 0; i < steps; ++i) {
        Step step;
        step.kind = static_cast<StepKind>(random() % kNames.size());
        step.pause = pause(random);
        step.argument = argument_of(step.kind, random);
        schedule.push_back(step);
    }
    return schedule;
}

std::string text_of(const Step& step) {
    return fmt::format("after {:.2f} s {} {:.3f}", step.pause,
                       kNames[static_cast<std::size_t>(step.kind)], step.argument);
}

}  // namespace tideline::soak
