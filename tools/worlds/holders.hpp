// Every order in small worlds of members that hold for each other: three members, one slot, one key, two
// claimants, messages in any order, twice or never, disks that lose what was not stored, crashes, wiped
// disks, and tables that change meanwhile, as the steward that ships proposes them.
#pragma once

#include <string>
#include <vector>

#include "worlds/search.hpp"

namespace tideline::worlds {

// How often each of the things that are not messages may happen in one order.
struct HolderBudgets {
    int asks = 0, crashes = 0, wipes = 0, repeats = 0, looks = 0, deaths = 0, losses = 0, steps = 0;
};
struct HolderBeginning {
    std::string name, about;
    int copies = 2;
    std::vector<std::string> events;  // texts; "settle": all that is on its way arrives; "settle but n1"
    HolderBudgets budgets;
    int depth = 0;
};
std::vector<HolderBeginning> holder_beginnings();
Found search_holders(const HolderBeginning& beginning, int depth, std::size_t most);

}  // namespace tideline::worlds
