// The content versions of the endpoint list or the release status that this member has adopted.
#pragma once

#include <algorithm>
#include <vector>

#include "audit/content_version.hpp"

namespace tideline::audit {

class AdoptedVersions {
  public:
    // Appends `version`, or replaces the newest one if its rank is the same. Returns false and adds
    // nothing if its rank is lower than the newest.
    bool add(const ContentVersion& version) {
        if (version.rank < rank()) {
            return false;
        }
        if (!versions_.empty() && version.rank == versions_.back().rank) {
            versions_.back() = version;
        } else {
            versions_.push_back(version);
        }
        if (versions_.size() > kMaxVersions) {
            versions_.erase(versions_.begin());
        }
        return true;
    }
    // Returns the rank of the newest version; 0 if there is none.
    std::uint64_t rank() const {
        return versions_.empty() ? 0 : versions_.back().rank;
    }
    bool contains(const ContentVersion& version) const {
        return std::find(versions_.begin(), versions_.end(), version) != versions_.end();
    }
    // Returns the kept versions, oldest first.
    const std::vector<ContentVersion>& all() const {
        return versions_;
    }

  private:
    // With ten list changes per second, a version can be confirmed for 6 s after it was adopted.
    static constexpr std::size_t kMaxVersions = 64;

    std::vector<ContentVersion> versions_;
};

}  // namespace tideline::audit
