// What one scenario found and measured, and the lines that are printed of it.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "policy/types.hpp"

namespace tideline::fault_tests {

struct ScenarioReport {
    std::string name;
    Seconds duration = 0;
    std::string counts;  // printed behind the time; empty: nothing
    std::vector<std::pair<std::string, double>> figures;
    std::vector<std::string> violations;
    std::vector<std::string> folders;  // with the logs of all processes
};

// Prints one line of the scenario, and the first `most_violations` violations with the folders
// below it. Removes the folders where nothing was violated. True where nothing was.
bool print_report(const ScenarioReport& report, std::size_t max_printed_violations);

}  // namespace tideline::fault_tests
