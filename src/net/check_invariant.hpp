// Run-time checks of invariants: a broken one aborts a debug build; a release build counts it and
// writes the counts to the log.
#pragma once

#include <cassert>
#include <map>
#include <string>

namespace tideline::net {

// Number of violations of each invariant, by its text. Not thread-safe: only the event loop's
// thread may call it.
inline std::map<std::string, long>& broken_invariants() {
    static std::map<std::string, long> counts;
    return counts;
}

// Returns whether the invariant holds, so that a caller can return early if it does not.
inline bool check_invariant(bool holds, const char* invariant) {
    assert(holds && "invariant broken");
    if (!holds) {
        ++broken_invariants()[invariant];
    }
    return holds;
}

}  // namespace tideline::net
