#include "fault_tests/schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <stdexcept>

namespace tideline::fault_tests {
namespace {

// The number of arguments of each action, and how many of the first of them are members.
const std::map<std::string, std::pair<std::size_t, std::size_t>> kEventForms = {
    {"kill", {1, 1}},
    {"start", {1, 1}},
    {"wipe", {1, 1}},
    {"term", {1, 1}},
    {"stop", {1, 1}},
    {"go", {1, 1}},
    {"cut", {2, 2}},
    {"heal", {2, 2}},
    {"split", {1, 1}},
    {"slow", {2, 1}},
    {"mute", {1, 1}},
    {"speak", {1, 1}},
    {"lie", {1, 1}},
    {"pod", {0, 0}},
    {"drain", {0, 0}},
    {"offer", {1, 0}},
    {"stage", {1, 0}},
    {"back", {0, 0}},
    {"release", {0, 0}},
    // Events of planners and lease holders; "disk" also applies to sidecars with replication.
    {"mark", {1, 1}},
    {"release-task", {1, 1}},
    {"admit", {1, 1}},
    {"take-away", {0, 0}},
    {"disk", {2, 1}}};

}  // namespace

const char* disk_fault_name(DiskFault fault) {
    switch (fault) {
        case DiskFault::failing_fsync:
            return "fsync";
        case DiskFault::full:
            return "full";
        case DiskFault::clock_back:
            return "back";
        case DiskFault::slow_fsync:
            return "slow";
        default:
            return "";
    }
}

std::string text_of(const Event& event) {
    std::string text = fmt::format("{:.3f} {}", event.at, event.action);
    for (const double number : event.arguments) {
        text += fmt::format(" {}", number);
    }
    return text;
}

void sort_by_time(std::vector<Event>& events) {
    std::stable_sort(events.begin(), events.end(), [](auto& a, auto& b) { return a.at < b.at; });
}

std::vector<Event> read_schedule(const std::string& text, int members) {
    std::vector<Event> events;
    std::istringstream lines(text);
    std::string line;
    for (int line_number = 1; std::getline(lines, line); ++line_number) {
        if (const auto hash = line.find('#'); hash != std::string::npos) {
            line.resize(hash);
        }
        if (line.find_first_not_of(" \t\r") == std::string::npos) {
            continue;
        }
        std::istringstream fields(line);
        Event event;
        const bool has_time_and_action = static_cast<bool>(fields >> event.at >> event.action);
        for (double number = 0; fields >> number;) {
            event.arguments.push_back(number);
        }
        const auto known = kEventForms.find(event.action);
        const bool heals_all_links = event.action == "heal" && event.arguments.empty();
        if (!has_time_and_action || !fields.eof() || known == kEventForms.end() ||
            (!heals_all_links && event.arguments.size() != known->second.first)) {
            throw std::runtime_error(
                fmt::format("line {}: not a valid event: {}", line_number, line));
        }
        for (std::size_t i = 0; i < known->second.second && i < event.arguments.size(); ++i) {
            if (event.arguments[i] < 1 || event.arguments[i] > members) {
                throw std::runtime_error(
                    fmt::format("line {}: no such member: {}", line_number, event.arguments[i]));
            }
        }
        events.push_back(event);
    }
    sort_by_time(events);
    return events;
}

}  // namespace tideline::fault_tests
