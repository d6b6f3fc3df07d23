// Majorities of a voter set.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include "raft/types.hpp"

namespace tideline::raft {

inline std::size_t count_voters(const VoterSet& voters) {
    return static_cast<std::size_t>(
        std::count_if(voters.begin(), voters.end(), [](auto& each) { return each.second.votes; }));
}

// Returns how many voters make a majority. Any two majorities of one set have a voter in common.
inline std::size_t majority_size(const VoterSet& voters) {
    return count_voters(voters) / 2 + 1;
}

inline bool votes_in(const VoterSet& voters, ServerId server) {
    const auto found = voters.find(server);
    return found != voters.end() && found->second.votes;
}

// Returns the highest value that a majority of the voters has reached, or Value{} if the set has no
// voter. `value_of(ServerId)` returns the value of one voter.
template <class Value, class ValueOf>
Value reached_by_majority(const VoterSet& voters, ValueOf value_of) {
    std::vector<Value> values;
    for (const auto& [server, voter] : voters) {
        if (voter.votes) {
            values.push_back(value_of(server));
        }
    }
    if (values.empty()) {
        return Value{};
    }
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[majority_size(voters) - 1];
}

}  // namespace tideline::raft
