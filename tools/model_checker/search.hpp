// Exhaustive search over the orders in which the events of a model can happen. The search is
// depth-first and holds only the path to the current state. A state is searched again only if it is
// reached with more events left than before. The model (the parameter World) is copied for each
// event and provides:
//   std::vector<Event<World>> events() const;   the events that are possible in this state
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

// An event that is possible in a model. The text identifies it among the events of one state.
template <class World>
struct Event {
    std::string text;
    std::function<void(World&)> apply;
};

// The result of a search.
struct SearchResult {
    std::size_t states = 0;
    std::uint64_t steps = 0;
    bool reached_state_limit = false;  // the search ended at max_states
    bool holds = true;                 // whether no invariant was violated
};

// All running searches end early once this is set.
inline std::atomic<bool> stop_requested{false};

// Searches one model. Not thread-safe, but several objects may search concurrently.
template <class World>
class Search {
  public:
    explicit Search(std::size_t max_states) : max_states_(max_states) {}

    // Searches all orders of up to `depth` events from this state. Returns false after a violation,
    // which is printed with the events that led to it.
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

    // Applies the event with this text, outside the search. Returns false after a violation; throws
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
            throw std::runtime_error("event is not possible in this state: " + text +
                                     "; possible events:" + texts);
        }
        const World before(world);
        event->apply(world);
        path_.push_back(text);
        return check_invariants(before, world);
    }

    // The texts of the events from the initial state to the current one.
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
        fmt::print("{}", report);  // one call, because other searches print concurrently
        return false;
    }

    std::size_t max_states_;
    std::uint64_t steps_ = 0;
    // The number of events that were left when a state was searched, by the hash of the state.
    std::unordered_map<std::uint64_t, int> searched_depth_;
    std::vector<std::string> path_;
};

// Returns whether the event happens at one of the nodes, or delivers a message from or to one of
// them. A node is written as "n1"; ">n1" matches only the deliveries to n1.
inline bool involves_any_node(const std::string& event, const std::set<std::string>& nodes) {
    return std::any_of(nodes.begin(), nodes.end(), [&](const std::string& each) {
        const std::string node = each.front() == '>' ? each.substr(1) : each;
        return (node == each && event.starts_with(node + " ")) ||
               event.find(" to " + node + ":") != std::string::npos;
    });
}

// Delivers all messages and completes all writes, except those of the excluded nodes (written as
// for involves_any_node). Returns false after a violation.
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

// Applies the setup of a scenario. Each entry is the text of an event, "settle", or "settle but n1
// >n2", which names the nodes that settle() excludes. Returns false after a violation.
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

// Applies the setup of a scenario under the limits of a setup, then searches from the resulting
// state under the limits of the scenario.
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
