// Generates schedules of random faults from a seed, for sidecars and for planners with lease
// holders.

#include <algorithm>
#include <cmath>
#include <random>

#include "fault_tests/planner_cluster.hpp"
#include "fault_tests/schedule.hpp"

namespace tideline::fault_tests {

namespace {

// Adds a fault at `at` and its undoing `duration` later.
void push_with_undo(std::vector<Event>& events, Seconds at, Seconds duration, const char* fault,
                    const char* undo, double node) {
    events.push_back({at, fault, {node}});
    events.push_back({at + duration, undo, {node}});
}
void push_cut(std::vector<Event>& events, Seconds at, Seconds duration, double from, double to,
              bool both_directions) {
    events.push_back({at, "cut", {from, to}});
    if (both_directions) {
        events.push_back({at, "cut", {to, from}});
    }
    events.push_back({at + duration, "heal", {from, to}});
    events.push_back({at + duration, "heal", {to, from}});
}
void push_split(std::vector<Event>& events, Seconds at, Seconds duration,
                double last_of_first_part) {
    events.push_back({at, "split", {last_of_first_part}});
    events.push_back({at + duration, "heal", {}});
}
void push_slow(std::vector<Event>& events, Seconds at, Seconds duration, double node,
               Seconds delay) {
    events.push_back({at, "slow", {node, delay}});
    events.push_back({at + duration, "slow", {node, 0}});
}
// A planner loses its disk and starts without it. An operator repeats the request to admit it,
// since a request fails while there is no leader.
void push_lost_disk(std::vector<Event>& events, Seconds at, double planner) {
    events.push_back({at, "kill", {planner}});
    events.push_back({at + 0.01, "wipe", {planner}});
    events.push_back({at + 0.5, "start", {planner}});
    for (int i = 0; i < 4; ++i) {
        events.push_back({at + 1.5 + i, "admit", {planner}});
    }
}

}  // namespace

// Each fault is undone after a random time. Endpoints and the release change meanwhile.
std::vector<Event> random_sidecar_schedule(std::uint32_t seed, int members, Seconds length) {
    std::ranlux24_base random(seed);
    const auto draw = [&](double from, double to) {
        return from +
               (to - from) * static_cast<double>(random()) / static_cast<double>(random.max());
    };
    const auto member = [&] { return std::floor(draw(1, members + 0.999)); };
    std::vector<Event> events{{1.0, "offer", {42}}};
    for (Seconds at = 1.5; at < length; at += draw(0.4, 1.0)) {
        events.push_back({at, draw(0, 1) < 0.7 ? "pod" : "drain", {}});
    }
    if (draw(0, 1) < 0.5) {
        events.push_back({draw(2, length), "stage", {1}});
    } else {
        events.push_back({draw(2, length), "back", {}});
    }
    for (Seconds at = 2; at < length; at += draw(0.3, 1.6)) {
        const double one = member();
        const double other = member();
        const double duration = draw(0.3, 5);
        switch (static_cast<int>(draw(0, 8.999))) {
            case 0:
                events.push_back({at, "kill", {one}});
                if (draw(0, 1) < 0.4) {
                    events.push_back({at + duration / 2, "wipe", {one}});
                }
                events.push_back({at + duration, "start", {one}});
                break;
            case 1:
                push_with_undo(events, at, duration, "stop", "go", one);
                break;
            case 2:
            case 3:
                if (one == other) {
                    break;
                }
                push_cut(events, at, duration, one, other, draw(0, 1) < 0.5);
                break;
            case 4:
                push_split(events, at, duration, std::floor(draw(1, members - 0.001)));
                break;
            case 5:
                push_slow(events, at, duration, one, draw(0.1, 3));
                break;
            case 6:
            case 7:
                push_with_undo(events, at, duration, "mute", "speak", one);
                break;
            default:
                events.push_back({at, "term", {one}});
                events.push_back({at + duration + 1.5, "start", {one}});
        }
    }
    sort_by_time(events);
    return events;
}

// Each fault is undone after a random time. At most one planner loses its disk, since a majority
// must keep its votes and log until that planner is admitted again.
std::vector<Event> random_planner_schedule(std::uint32_t seed, int planners, int holders,
                                           Seconds length) {
    std::ranlux24_base random(seed);
    const auto draw = [&](double from, double to) {
        return from + (to - from) * static_cast<double>(random()) /
                          (1.0 + static_cast<double>(random.max()));
    };
    const auto among = [&](int from, int count) {
        return static_cast<double>(from + static_cast<int>(draw(0, count)));
    };
    const int nodes = planners + holders;
    std::vector<Event> events;
    for (Seconds at = 0.5; at < length; at += draw(0.1, 1.2)) {
        const double planner = among(1, planners);
        const double holder = among(planners + 1, holders);
        const double one = among(1, nodes);
        const double other = among(1, nodes);
        const double duration = draw(0.1, 3);
        switch (static_cast<int>(draw(0, 10))) {
            case 0:
            case 1:
                push_with_undo(events, at, duration, "kill", "start", planner);
                break;
            case 2:
                push_with_undo(events, at, duration, "kill", "start", holder);
                break;
            case 3:
                push_with_undo(events, at, duration, "stop", "go", one);
                break;
            case 4:
                push_with_undo(events, at, duration, "mark", "go", holder);
                break;
            case 5:
            case 6:
                push_cut(events, at, duration, one, other, draw(0, 1) < 0.5);
                break;
            case 7:
                push_split(events, at, duration, among(1, nodes - 1));
                break;
            case 8:
                push_slow(events, at, duration, one, draw(0.1, 3));
                break;
            default:
                events.push_back({at, "release-task", {holder}});
                events.push_back(
                    {at + draw(0, 0.5), "release-task", {among(planners + 1, holders)}});
        }
    }
    if (draw(0, 1) < 0.6) {
        const double planner = among(1, planners);
        const double at = draw(1, length - 1);
        push_lost_disk(events, at, planner);
    }
    sort_by_time(events);
    return events;
}

}  // namespace tideline::fault_tests
