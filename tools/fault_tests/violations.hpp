// Collects the violations that a check found, as lines for the test's output.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace tideline::fault_tests {

class Violations {
  public:
    // Adds a line; beyond kMaxViolations further lines are dropped.
    void add(std::string line) {
        if (lines_.size() < kMaxViolations) {
            lines_.push_back(std::move(line));
        }
    }
    // Adds a line "<process>: <log line>" for the first crash report of each kind in `log`.
    void add_crashes(const std::string& process, const std::string& log);
    const std::vector<std::string>& lines() const {
        return lines_;
    }

  private:
    static constexpr std::size_t kMaxViolations = 20;
    std::vector<std::string> lines_;
};

}  // namespace tideline::fault_tests
