#include "cli/check.hpp"

#include <fmt/core.h>

#include <fstream>
#include <iterator>

#include "fleet/treaty.hpp"

namespace tideline::cli {

int check(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        fmt::print(stderr, "tideline: can't read {}\n", path);
        return 2;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    fleet::Treaty treaty;
    const auto faults = fleet::read_treaty(text, treaty);
    for (const auto& fault : faults) fmt::print("{}\n", fleet::text_of(path, fault));
    if (faults.empty())
        fmt::print("{}: holds; member {} at {}, {} seeds\n", path, treaty.name.value, treaty.listen,
                   treaty.seeds.size());
    return faults.empty() ? 0 : 1;
}

}  // namespace tideline::cli
