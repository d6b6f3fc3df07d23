#include "cli/check.hpp"

#include <fmt/core.h>

#include <fstream>
#include <iterator>
#include <regex>

#include "cluster/cluster_config.hpp"
#include "planner/planner_config.hpp"

namespace tideline::cli {

int check_operator_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "tideline: {}: can't be read\n", path);
        return 2;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    // The operator file of a planner has the group `planner`; any other file is read as the
    // operator file of a cluster member.
    const bool is_planner = std::regex_search(text, std::regex("(^|\\n)\\s*planner\\s*[=:]"));
    cluster::ClusterConfig cluster_config;
    planner::PlannerConfig planner_config;
    const auto errors = is_planner ? planner::read_planner_config(text, planner_config)
                                   : cluster::read_cluster_config(text, cluster_config);
    for (const auto& error : errors) {
        fmt::print("{}\n", cluster::text_of(path, error));
    }
    if (errors.empty() && is_planner) {
        fmt::print("{}: valid; planner {} at {}, {} planners\n", path, planner_config.name.value,
                   planner_config.listen, planner_config.planners.size());
    } else if (errors.empty()) {
        fmt::print("{}: valid; member {} at {}, {} seeds\n", path, cluster_config.name.value,
                   cluster_config.listen, cluster_config.seeds.size());
    }
    return errors.empty() ? 0 : 1;
}

}  // namespace tideline::cli
