#include "fault_tests/scenario_report.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "net/event_loop.hpp"

namespace tideline::fault_tests {

namespace {

constexpr std::size_t kPrintedLogLines = 60;
// The report prints the difference between the clocks of the logs and of the checks beyond this,
// since their times can't be compared directly then.
constexpr Seconds kMaxClockDifference = 0.01;

bool is_counter_line(const std::string& line) {
    return line.find(" counters: ") != std::string::npos ||
           line.find(" resource usage: ") != std::string::npos ||
           line.find(" rejections by reason: ") != std::string::npos;
}

// Prints the last lines of all logs in the folders, sorted by time. In CI this output is all that
// remains of a run.
void print_logs(const std::vector<std::string>& folders) {
    std::vector<std::string> lines;
    for (const std::string& folder : folders) {
        for (const auto& entry : std::filesystem::directory_iterator(folder)) {
            if (entry.path().extension() != ".log") {
                continue;
            }
            std::ifstream log(entry.path());
            for (std::string line; std::getline(log, line);) {
                if (!is_counter_line(line)) {
                    lines.push_back(fmt::format("{} {}", line, entry.path().stem().string()));
                }
            }
        }
    }
    std::sort(lines.begin(), lines.end());
    const std::size_t first = lines.size() - std::min(kPrintedLogLines, lines.size());
    for (std::size_t i = first; i < lines.size(); ++i) {
        fmt::print("      {}\n", lines[i]);
    }
}

}  // namespace

bool print_report(const ScenarioReport& report, std::size_t max_printed_violations) {
    const bool passed = report.violations.empty();
    fmt::print("{:24} {:7} {:5.1f} s", report.name, passed ? "holds" : "FAULTS", report.duration);
    if (!report.counts.empty()) {
        fmt::print("; {}", report.counts);
    }
    for (const auto& [figure, value] : report.figures) {
        fmt::print("; {} {:.2f}", figure, value);
    }
    fmt::print("\n");
    const std::size_t printed = std::min(max_printed_violations, report.violations.size());
    for (std::size_t i = 0; i < printed; ++i) {
        fmt::print("    {}\n", report.violations[i]);
    }
    if (!passed) {
        const Seconds clock_difference = net::wall_time() - net::clock_now();
        if (std::abs(clock_difference) > kMaxClockDifference) {
            fmt::print("    the clock of the logs is {:.3f} s ahead of the clock of the checks\n",
                       clock_difference);
        }
        fmt::print("    logs in {}\n", fmt::join(report.folders, " and "));
        print_logs(report.folders);
    }
    for (const std::string& folder : report.folders) {
        if (passed) {
            std::filesystem::remove_all(folder);
        }
    }
    std::fflush(stdout);
    return passed;
}

}  // namespace tideline::fault_tests
