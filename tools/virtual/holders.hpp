// Members that hold for each other in seeded virtual time: faults with checks after every step. All figures
// are simulated.
#pragma once

#include <cstdint>

namespace tideline::simulated {

struct HoldersWish {
    std::uint32_t first = 1;
    int seeds = 200, members = 7, copies = 2;
    int least = 0;  // 0: as many as copies
    bool copied = true, verbose = false;
};
int check_holders(const HoldersWish& wish);

}  // namespace tideline::simulated
