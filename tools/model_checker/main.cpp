// Model checker: searches all orders of events in small models that execute the production state
// machines. Each search ends with one line that has the number of states, the depth and the
// duration. A violation is printed with the events that led to it.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <exception>
#include <functional>
#include <future>
#include <string>
#include <vector>

#include "model_checker/lease_model.hpp"
#include "model_checker/replication_model.hpp"
#include "model_checker/version_audit_model.hpp"

namespace {

using namespace tideline::model_checker;

struct Options {
    int depth = 5;  // of the search of the version audit, in events
    // By how many events the other searches are shallower than their scenarios say.
    int depth_reduction = 0;
    std::size_t max_states = 20000000;
    std::string only_search;
    std::string replay_path;
    std::size_t max_entries_per_message = 128;
    bool first_fault = false;
};

// The result of a search and the line that is printed for it.
struct SearchReport {
    SearchResult result;
    std::string line;
};
using PendingReport = std::future<SearchReport>;

double seconds_since(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

SearchReport run_search(const std::string& name, const std::function<SearchResult()>& search,
                        int depth, const std::string& description, bool stops_other_searches) {
    const auto start = std::chrono::steady_clock::now();
    const SearchResult result = search();
    if (!result.holds && stops_other_searches) {
        stop_requested = true;
    }
    return {
        result,
        fmt::format("worlds: {}: {} states, {} steps, all orders to depth {}, start: {}{}, "
                    "{:.1f} s: {}",
                    name, result.states, result.steps, depth, description,
                    result.reached_state_limit ? " (stopped at the maximum number of states)" : "",
                    seconds_since(start), result.holds ? "all hold" : "FAULT")};
}

// Starts the search of a scenario in its own thread.
template <class Scenario, class SearchFunction>
PendingReport start_search(const Scenario& scenario, SearchFunction search,
                           const Options& options) {
    const int depth = std::max(1, scenario.depth - options.depth_reduction);
    return std::async(std::launch::async,
                      [=, max_states = options.max_states, first_fault = options.first_fault] {
                          return run_search(
                              scenario.name, [&] { return search(scenario, depth, max_states); },
                              depth, scenario.description, first_fault);
                      });
}

// Starts the selected searches and returns their reports in the order in which they are printed.
std::vector<PendingReport> start_searches(const Options& options) {
    std::vector<PendingReport> reports;
    const auto is_selected = [&](const std::string& name) {
        return options.only_search.empty() || options.only_search == name;
    };
    if (is_selected("currency")) {
        reports.push_back(std::async(std::launch::async, [options] {
            return run_search(
                "currency", [&] { return search_version_audit(options.depth, options.max_states); },
                options.depth,
                "three members at the start, with one that lags and knows it, or with one that "
                "another knows to lag",
                options.first_fault);
        }));
    }
    for (const LeaseScenario& scenario : lease_scenarios()) {
        if (is_selected(scenario.name)) {
            reports.push_back(start_search(scenario, search_leases, options));
        }
    }
    for (const ReplicationScenario& scenario : replication_scenarios()) {
        if (is_selected(scenario.name) || options.only_search == "holders") {
            reports.push_back(start_search(scenario, search_replication, options));
        }
    }
    return reports;
}

// Executes the searches and prints one line for each. Returns whether all invariants hold.
bool run_searches(const Options& options) {
    std::vector<PendingReport> reports = start_searches(options);
    const auto start = std::chrono::steady_clock::now();
    SearchResult sum;
    for (PendingReport& pending : reports) {
        const SearchReport report = pending.get();
        fmt::print("{}\n", report.line);
        std::fflush(stdout);
        sum.states += report.result.states;
        sum.steps += report.result.steps;
        sum.holds &= report.result.holds;
    }
    fmt::print("worlds: {} searches, {} states, {} steps, {:.1f} s: {}\n", reports.size(),
               sum.states, sum.steps, seconds_since(start), sum.holds ? "all hold" : "FAULT");
    return sum.holds;
}

void add_options(CLI::App& app, Options& options) {
    app.add_option("--depth", options.depth, "depth of the search of the version audit, in events")
        ->capture_default_str();
    app.add_option("--less", options.depth_reduction,
                   "events by which the searches of leases and replication are shallower")
        ->capture_default_str();
    app.add_option("--states", options.max_states, "maximum number of states of each search")
        ->capture_default_str();
    app.add_option("--only", options.only_search,
                   "the only search to execute: currency (version audit), holders (all searches of "
                   "replication) or the name of a scenario");
    app.add_option("--replay", options.replay_path,
                   "file with a schedule of the lease model, as printed for a violation");
    app.add_option("--batch", options.max_entries_per_message,
                   "with --replay: maximum number of Raft log entries in one message")
        ->capture_default_str();
    app.add_flag("--first-fault", options.first_fault,
                 "end all searches once one has found a violation");
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Searches all orders of events in small models of the cluster.",
                 "tideline_model_checker");
    Options options;
    add_options(app, options);
    CLI11_PARSE(app, argc, argv);
    try {
        const bool holds = options.replay_path.empty()
                               ? run_searches(options)
                               : replay(options.replay_path, options.max_entries_per_message);
        return holds ? 0 : 1;
    } catch (const std::exception& error) {
        fmt::print(stderr, "tideline_model_checker: {}\n", error.what());
        return 2;
    }
}
