// The check by which the target of a leased operation rejects operations under an older fencing
// token than one that it has seen. Clocks can't ensure this: a holder that is paused between its
// own check of the lease and the operation performs the operation too late (docs/leases.md).
#pragma once

#include <map>

#include "lease/types.hpp"

namespace tideline::lease {

class FencingCheck {
  public:
    // Returns whether an operation under this token may take effect. If so, operations under older
    // tokens are rejected from now on.
    bool passes(const LeaseName& lease, FencingToken token) {
        FencingToken& newest = newest_[lease];
        if (token < newest || token == FencingToken{}) {
            return false;
        }
        newest = token;
        return true;
    }
    FencingToken newest(const LeaseName& lease) const {
        const auto found = newest_.find(lease);
        return found == newest_.end() ? FencingToken{} : found->second;
    }

  private:
    std::map<LeaseName, FencingToken> newest_;
};

}  // namespace tideline::lease
