// Searches every order of events in a small world, depth first, so that only the path to the
// present state is held. A state is searched again only with more events left than before. A world
// is copied for each event and has:
//   std::vector<Event<World>> events() const;   the events that are possible
//   std::string state() const;                  everything that later events depend on
//   std::string fault(const World& before);     the violated invariant; empty if all hold
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::model_checker {

// An event that is possible in a world. The text identifies it among the events of one state.
template <class World>
struct Event {
    std::string text;
    std::function<void(World&)> apply;
};

// The result of a search.
struct SearchResult {
    std::size_t states = 0;
    std::uint64_t steps = 0;
    bool reached_state_limit = false;  // cut short at the bound on states
    bool holds = true;                 // no invariant was violated
};

// Set to end all searches early.
inline std::atomic<bool> stop_requested{false};

// One search; not thread-safe, but several may run side by side.
template <class World>
class Search {
  public:
    explicit Search(std::size_t max_states) : max_states_(max_states) {}

    // Searches all orders of up to `depth` events from this state. False after a violation, which
    // is printed with the events that led to it.
    bool search_from(const World& world, int depth) {
        if (depth == 0 || searched_depth_.size() >= max_states_ || stop_requested) {
            return true;
        }
        for (const auto& event : world.events()) {
            World next(world);
            event.apply(next);
            ++steps_;
            path_.push_back(event.text);
            if (!check_invariants(world, next)) {
                return false;
            }
            const std::string state = next.state();
            int& searched = searched_depth_.try_emplace(XXH3_64bits(state.data(), state.size()), 0)
                                .first->second;
            if (depth - 1 > searched) {
                searched = depth - 1;
                if (!search_from(next, depth - 1)) {
                    return false;
                }
            }
            path_.pop_back();
        }
        return true;
    }

    // Applies the event with this text, outside the search. False after a violation; throws
    // std::runtime_error if the event is not possible.
    bool apply(World& world, const std::string& text) {
        const auto possible = world.events();
        const auto event = std::find_if(possible.begin(), possible.end(),
                                        [&](const auto& each) { return each.text == text; });
        if (event == possible.end()) {
            std::string texts;
            for (const auto& each : possible) {
                texts += "\n  " + each.text;
            }
            throw std::runtime_error("can't happen there: " + text + "; what can:" + texts);
        }
        const World before(world);
        event->apply(world);
        path_.push_back(text);
        return check_invariants(before, world);
    }

    // The texts of the events so far.
    const std::vector<std::string>& path() const {
        return path_;
    }
    SearchResult result(bool holds) const {
        return {searched_depth_.size(), steps_, searched_depth_.size() >= max_states_, holds};
    }

  private:
    bool check_invariants(const World& before, const World& after) {
        const std::string fault = after.fault(before);
        if (fault.empty()) {
            return true;
        }
        std::string report = fault + ", after:\n";
        for (const std::string& text : path_) {
            report += "  " + text + "\n";
        }
        fmt::print("{}", report);  // in one piece: other searches print too
        return false;
    }

    std::size_t max_states_;
    std::uint64_t steps_ = 0;
    std::unordered_map<std::uint64_t, int> searched_depth_;  // by the hash of the state
    std::vector<std::string> path_;
};

// Whether the event moves a message from or to one of the nodes ("n1"; ">n1": only to it).
inline bool involves_any_node(const std::string& event, const std::set<std::string>& nodes) {
    return std::any_of(nodes.begin(), nodes.end(), [&](const std::string& each) {
        const std::string node = each.front() == '>' ? each.substr(1) : each;
        return (node == each && event.starts_with(node + " ")) ||
               event.find(" to " + node + ":") != std::string::npos;
    });
}

// Delivers all messages and completes all writes, except those of the excluded nodes ("n1"; ">n1":
// only the messages to it). False after a violation.
template <class World>
bool settle(World& world, Search<World>& search, const std::set<std::string>& excluded) {
    for (;;) {
        const auto events = world.events();
        const auto next = std::find_if(events.begin(), events.end(), [&](const auto& event) {
            const bool is_delivery_or_write =
                event.text.find(" to ") != std::string::npos || event.text.ends_with(" has stored");
            return is_delivery_or_write && !involves_any_node(event.text, excluded) &&
                   !event.text.ends_with("and again later");
        });
        if (next == events.end()) {
            return true;
        }
        if (!search.apply(world, next->text)) {
            return false;
        }
    }
}

// Applies the setup of a scenario: events by their texts, "settle", or "settle but n1 >n2". False
// after a violation.
template <class World>
bool run_setup(World& world, Search<World>& search, const std::vector<std::string>& events) {
    for (const std::string& text : events) {
        if (!text.starts_with("settle")) {
            if (!search.apply(world, text)) {
                return false;
            }
            continue;
        }
        std::istringstream words(text);
        std::set<std::string> excluded;
        for (std::string word; words >> word;) {
            if (word != "settle" && word != "but") {
                excluded.insert(word);
            }
        }
        if (!settle(world, search, excluded)) {
            return false;
        }
    }
    return true;
}

// Executes the setup of a scenario under the limits of a setup, then searches under the limits of
// the scenario.
template <class World, class Scenario, class Limits>
SearchResult search_scenario(World& world, const Scenario& scenario, const Limits& setup_limits,
                             int depth, std::size_t max_states) {
    Search<World> search(max_states);
    world.remaining = setup_limits;
    if (!run_setup(world, search, scenario.setup)) {
        return search.result(false);
    }
    world.remaining = scenario.limits;
    return search.result(search.search_from(world, depth));
}

}  // namespace tideline::model_checker
