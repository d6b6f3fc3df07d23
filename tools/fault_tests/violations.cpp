#include "fault_tests/violations.hpp"

namespace tideline::fault_tests {

void Violations::add_crashes(const std::string& process, const std::string& log) {
    for (const char* marker :
         {"invariant broken", "terminate called", "Assertion", "runtime error", "ERROR: "}) {
        if (const auto at = log.find(marker); at != std::string::npos) {
            add(process + ": " + log.substr(at, log.find('\n', at) - at));
        }
    }
}

}  // namespace tideline::fault_tests
