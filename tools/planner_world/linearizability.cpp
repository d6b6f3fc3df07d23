#include "planner_world/linearizability.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace tideline::simulation {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

// The state of the register after a sequence of operations.
struct RegisterState {
    FencingToken token;
    bool alarm_raised = false;

    // Returns whether the operation can have its observed outcome in this state. If so, sets
    // `after` to the state that follows.
    bool allows(const RegisterObservation& observation, RegisterState& after) const {
        after = *this;
        if (observation.token < token) {
            return false;
        }
        after.token = observation.token;  // the grant of this token need not have been observed
        switch (observation.kind) {
            case RegisterObservation::granted:
                return true;
            case RegisterObservation::raised:
                after.alarm_raised = true;
                return !alarm_raised;
            case RegisterObservation::not_raised:
                return alarm_raised;
            case RegisterObservation::cleared:
                after.alarm_raised = false;
                return alarm_raised;
            case RegisterObservation::not_cleared:
                return !alarm_raised;
            default:
                after.alarm_raised = observation.kind == RegisterObservation::may_raise;
                return true;
        }
    }
};

// Searches for a linearization with the algorithm of Wing and Gong.
class LinearizabilitySearch {
  public:
    LinearizabilitySearch(std::vector<RegisterObservation> history, std::size_t max_steps)
        : history_(std::move(history)), max_steps_(max_steps) {
        std::erase_if(history_, [](const auto& each) { return each.requested_at < 0; });
        std::sort(history_.begin(), history_.end(),
                  [](const auto& a, const auto& b) { return a.requested_at < b.requested_at; });
        placed_.resize(history_.size());
    }
    // Returns whether a linearization exists, or nullopt if max_steps is reached first.
    std::optional<bool> run() {
        const bool found = search({}, 0);
        if (!found && steps_ >= max_steps_) {
            return std::nullopt;
        }
        return found;
    }

  private:
    // Extends the order from this state and returns whether it can be completed. All operations
    // before the index `begin` are already placed. The next operation can be any that was requested
    // before the earliest answer among those that remain. A state from which the search has failed
    // is not searched again.
    bool search(const RegisterState& state, std::size_t begin) {
        while (begin < history_.size() && placed_[begin]) {
            ++begin;
        }
        if (is_complete(begin)) {
            return true;
        }
        if (++steps_ >= max_steps_) {
            return false;
        }
        double first_answer = kNever;
        const std::vector<std::size_t> candidates = candidates_from(begin, first_answer);
        if (!visited_.insert(key_of(state, begin, candidates.back())).second) {
            return false;
        }
        for (const std::size_t i : candidates) {
            RegisterState after;
            if (history_[i].requested_at > first_answer || !state.allows(history_[i], after)) {
                continue;
            }
            placed_[i] = true;
            if (search(after, begin)) {
                return true;
            }
            placed_[i] = false;
        }
        return false;
    }
    // Returns whether the order is complete. Operations without an answer can be left out of it,
    // because they need not have taken effect.
    bool is_complete(std::size_t begin) const {
        for (std::size_t i = begin; i < history_.size(); ++i) {
            if (!placed_[i] && history_[i].answered_at != kNever) {
                return false;
            }
        }
        return true;
    }
    // Returns the operations that can come next, and sets `first_answer` to the time of the
    // earliest answer among them.
    std::vector<std::size_t> candidates_from(std::size_t begin, double& first_answer) const {
        std::vector<std::size_t> candidates;
        for (std::size_t i = begin; i < history_.size() && history_[i].requested_at <= first_answer;
             ++i) {
            if (!placed_[i]) {
                candidates.push_back(i);
                first_answer = std::min(first_answer, history_[i].answered_at);
            }
        }
        return candidates;
    }
    // Returns a text that identifies the state of the search in visited_.
    std::string key_of(const RegisterState& state, std::size_t begin, std::size_t last) const {
        std::string key = fmt::format("{}.{}.{}", begin, state.token.value, state.alarm_raised);
        for (std::size_t i = begin; i <= last; ++i) {
            key += placed_[i] ? '1' : '0';
        }
        return key;
    }

    std::vector<RegisterObservation> history_;
    std::vector<bool> placed_;       // whether the order contains the operation
    std::set<std::string> visited_;  // states from which the search has started
    std::size_t max_steps_;
    std::size_t steps_ = 0;
};

}  // namespace

std::optional<bool> linearizable(std::vector<RegisterObservation> history, std::size_t max_steps) {
    return LinearizabilitySearch(std::move(history), max_steps).run();
}

}  // namespace tideline::simulation
