// Random numbers for the membership protocol. The same seed gives the same sequence.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>

namespace tideline::swim {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed)
        : engine_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

    // Returns a number from 0 to below 1.
    double draw() {
        return static_cast<double>(engine_()) /
               (1.0 + static_cast<double>(std::ranlux24_base::max()));
    }
    // Returns a number from 0 to below `count`, which must be at least 1.
    std::size_t draw_below(std::size_t count) {
        return std::min(count - 1, static_cast<std::size_t>(draw() * static_cast<double>(count)));
    }

  private:
    std::ranlux24_base engine_;
};

}  // namespace tideline::swim
