// Members whose entries changed recently, in the order in which they are piggybacked on messages.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::swim {

// Entries that were sent least often come first; among these, the latest change. Holds names only:
// an entry is sent as it is known at that time.
class GossipQueue {
  public:
    // Queues the entry of `name` as changed, with no transmissions counted.
    void add(const cluster::Name& name);
    void remove(const cluster::Name& name);
    // Returns up to `max_count` names that are not in `skipped`, and adds them to `skipped`. Each
    // is counted as sent once more, and removed after `max_transmissions`.
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
    std::map<cluster::Name, Change> changes_by_name_;
    std::uint64_t next_order_ = ~0ULL;  // counts down
};

}  // namespace tideline::swim
