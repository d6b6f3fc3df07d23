// Random draws of the simulations; the same seed gives the same draws.
#pragma once

#include <random>

namespace tideline::simulation {

// Draws a number from the uniform distribution over [from, to).
inline double draw_uniform(std::ranlux24_base& random, double from, double to) {
    return from + (to - from) * static_cast<double>(random()) /
                      (1.0 + static_cast<double>(std::ranlux24_base::max()));
}

}  // namespace tideline::simulation
