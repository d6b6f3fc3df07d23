// The only source of randomness of a routing policy. It is seeded so that runs are reproducible,
// which makes the order of the draws part of the policy's behaviour.
#pragma once

#include <cstdint>
#include <random>

#include "policy/types.hpp"

namespace tideline {

class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed)
        : engine_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

    // Draws from the uniform distribution between `from` and `to`.
    double uniform(double from, double to) {
        const double unit =
            static_cast<double>(engine_()) / static_cast<double>(std::ranlux24_base::max());
        return from + (to - from) * unit;
    }

  private:
    std::ranlux24_base engine_;
};

// A uniform draw between 0 and 1 that keeps its value for a given time before it is drawn again.
class HeldDraw {
  public:
    double value(Seconds now, Seconds held_for, RandomSource& random) {
        if (now >= held_until_) {
            value_ = random.uniform(0, 1);
            held_until_ = now + held_for;
        }
        return value_;
    }

  private:
    double value_ = 0;
    Seconds held_until_ = kNever;
};

}  // namespace tideline
