// The result of one scenario, and how it is printed.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "policy/types.hpp"

namespace tideline::fault_tests {

struct ScenarioReport {
    std::string name;
    Seconds duration = 0;
    std::string counts;  // printed after the duration; may be empty
    std::vector<std::pair<std::string, double>> figures;
    std::vector<std::string> violations;
    std::vector<std::string> folders;  // folders with the logs of all processes
};

// Prints one line for the scenario. If there are violations, prints the first
// `max_printed_violations` of them, the folders and the last log lines, and returns false.
// Otherwise removes the folders and returns true.
bool print_report(const ScenarioReport& report, std::size_t max_printed_violations);

}  // namespace tideline::fault_tests
