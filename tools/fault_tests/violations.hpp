// What a check found: the first of them, as lines for the test's output.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace tideline::fault_tests {

class Violations {
  public:
    // Keeps the line; past kMost further ones are dropped.
    void add(std::string line) {
        if (lines_.size() < kMaxViolations) {
            lines_.push_back(std::move(line));
        }
    }
    // Adds a line "<process>: <line of its log>" for each kind of crash report in `log`.
    void add_crashes(const std::string& process, const std::string& log);
    const std::vector<std::string>& lines() const {
        return lines_;
    }

  private:
    static constexpr std::size_t kMaxViolations = 20;
    std::vector<std::string> lines_;
};

}  // namespace tideline::fault_tests
