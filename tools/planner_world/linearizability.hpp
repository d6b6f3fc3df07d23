// A check that the history of operations that members observed on a register is linearizable.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "lease/fencing_check.hpp"

namespace tideline::simulation {

using lease::FencingToken;

// One operation on the register as a member observed it. The register holds the fencing token and
// the alarm of a lease.
struct RegisterObservation {
    // What the operation did. may_raise and may_clear are requests without a definite answer.
    enum Kind {
        granted,
        raised,
        not_raised,
        cleared,
        not_cleared,
        may_raise,
        may_clear
    } kind = granted;
    FencingToken token;
    // The true times of the request and of its answer, in seconds. A negative requested_at means
    // that the operation was rejected and had no effect. An infinite answered_at means that no
    // definite answer arrived, so the operation may or may not have taken effect.
    double requested_at = 0;
    double answered_at = 0;
};

// Returns whether a register allows some order of the operations in which each takes effect between
// its request and its answer. Returns nullopt if the search ends undecided after max_steps steps.
std::optional<bool> linearizable(std::vector<RegisterObservation> history, std::size_t max_steps);

}  // namespace tideline::simulation
