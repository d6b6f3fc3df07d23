// Members whose entries changed of late, in the order in which they are piggybacked on messages.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::swim {

// The entries that were sent least often come first, of these the latest change. Holds names only:
// an entry is sent as it is known when it is sent.
class GossipQueue {
  public:
    // The entry of `name` has changed: it is sent anew as often as any change.
    void add(const cluster::Name& name);
    void remove(const cluster::Name& name);
    // Up to `most` names that are not in `skipped`, each counted as sent once more and dropped
    // after `transmissions` of them. Adds the names to `skipped`.
    std::vector<cluster::Name> take(std::size_t max_count, int max_transmissions,
                                    std::set<cluster::Name>& skipped);

  private:
    struct Change {
        int transmissions = 0;
        std::uint64_t order = 0;  // lower: a later change
        cluster::Name name;
        auto operator<=>(const Change&) const = default;
    };
    std::set<Change> changes_;
    std::map<cluster::Name, Change> by_name_;
    std::uint64_t next_order_ = ~0ULL;  // counts down
};

}  // namespace tideline::swim
