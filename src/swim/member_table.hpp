// The table of the other members. Members that are gone or have left are remembered for a while, so
// that old gossip doesn't bring them back.
#pragma once

#include <map>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::swim {

class MemberTable {
  public:
    // The differences between a new entry and the one that it replaced.
    struct Change {
        // Left if the member was not known.
        cluster::MemberState before = cluster::MemberState::left;
        bool new_incarnation = false;
        bool changed = false;  // anything that must be gossiped
        bool joined = false;   // counts as present from now on
    };
    // Adds or replaces the member's entry.
    Change put(Seconds now, const cluster::Entry& entry);
    // Removes the members that have been gone or have left for longer than `remembered`, and
    // returns their names.
    std::vector<cluster::Name> forget(Seconds now, Seconds remembered);

    // Returns nullptr if the member is not known. The pointer is valid until the member is
    // forgotten.
    cluster::Entry* find(const cluster::Name& name);
    const cluster::Entry* find(const cluster::Name& name) const;
    bool gone_before(const cluster::Name& name, Seconds time) const;
    // Returns the entry that follows `name` in the order of names, or the first one after the last.
    // The table must not be empty.
    const cluster::Entry& entry_after(const cluster::Name& name) const;
    const std::map<cluster::Name, cluster::Entry>& entries() const {
        return entries_;
    }
    // The members that are gone or have left, each with the time since when.
    const std::map<cluster::Name, Seconds>& gone_since() const {
        return gone_since_;
    }
    // Returns the number of members that are present or suspected.
    std::size_t present() const {
        return present_;
    }
    // Returns the same number with this member included, for use in formulas.
    double cluster_size() const {
        return static_cast<double>(present_ + 1);
    }

  private:
    std::map<cluster::Name, cluster::Entry> entries_;
    std::map<cluster::Name, Seconds> gone_since_;
    std::size_t present_ = 0;
};

}  // namespace tideline::swim
