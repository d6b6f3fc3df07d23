#include "net/sidecar_counters.hpp"

#include <fmt/format.h>
#include <sys/resource.h>

namespace tideline::net {

std::string text_of_outcomes(const SidecarCounters& counters) {
    const auto count = [&](Outcome outcome) {
        const auto found = counters.outcomes.find(outcome);
        return found == counters.outcomes.end() ? 0 : found->second;
    };
    return fmt::format(
        "succeeded={} failed={} overloaded={} timed_out={} unreachable={} broken={} malformed={} "
        "cancelled={} never_sent={}",
        count(Outcome::succeeded), count(Outcome::failed), count(Outcome::overloaded),
        count(Outcome::timed_out), count(Outcome::unreachable), count(Outcome::broken),
        count(Outcome::malformed), count(Outcome::cancelled), count(Outcome::never_sent));
}

std::string text_of_resource_usage() {
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return fmt::format("memory_peak_mb={} cpu_s={:.1f}", used.ru_maxrss / 1024,
                       seconds(used.ru_utime) + seconds(used.ru_stime));
}

}  // namespace tideline::net
