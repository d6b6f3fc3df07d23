// Tests of the parser of a planner's operator file.
#include "planner/planner_config.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace tideline::test {

TEST_CASE("faults in the operator file of a planner are reported with their lines", "[lease]") {
    planner::PlannerConfig planner_config;
    const auto faults = planner::read_planner_config(
        "planner = {\n name = \"x\"; listen = \"127.0.0.1:1\"; folder = \"f\";\n"
        " planners = ( { name = \"p1\"; address = \"127.0.0.1:1\"; }, { name = \"p1\"; address = "
        "\"127.0.0.1:2\"; } );\n"
        " leases = { drift = 0.5; };\n log = { heartbeat = 1.0; };\n odd = 1;\n};\n",
        planner_config);
    std::vector<int> lines;
    for (const auto& fault : faults) {
        lines.push_back(fault.line);
    }
    CHECK(lines == std::vector<int>{1, 3, 4, 5, 6});
}

}  // namespace tideline::test
