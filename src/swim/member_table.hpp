// The other members that are known, with what is known of each; those that are gone or left are
// remembered for a while, so that old gossip doesn't bring them back.
#pragma once

#include <map>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::swim {

class MemberTable {
  public:
    // What a new entry changed against the one that was known.
    struct Change {
        cluster::MemberState before = cluster::MemberState::left;  // left: was not known
        bool new_incarnation = false;
        bool changed = false;  // anything that other members have to know
        bool joined = false;   // counts among the present from now on
    };
    // Replaces what is known of the member.
    Change put(Seconds now, const cluster::Entry& entry);
    // Removes those that are gone or left for longer than `remembered`, and returns their names.
    std::vector<cluster::Name> forget(Seconds now, Seconds remembered);

    // nullptr where it is not known. Valid until the member is forgotten.
    cluster::Entry* find(const cluster::Name& name);
    const cluster::Entry* find(const cluster::Name& name) const;
    bool gone_before(const cluster::Name& name, Seconds time) const;
    // The member behind `name` in the order of names, the first one behind the last. Not to be
    // called on an empty table.
    const cluster::Entry& entry_after(const cluster::Name& name) const;
    const std::map<cluster::Name, cluster::Entry>& entries() const {
        return entries_;
    }
    // Gone or left, and since when.
    const std::map<cluster::Name, Seconds>& gone_since() const {
        return gone_since_;
    }
    // Present or suspected.
    std::size_t present() const {
        return present_;
    }
    // The same with this member itself, for formulas.
    double cluster_size() const {
        return static_cast<double>(present_ + 1);
    }

  private:
    std::map<cluster::Name, cluster::Entry> entries_;
    std::map<cluster::Name, Seconds> gone_since_;
    std::size_t present_ = 0;
};

}  // namespace tideline::swim
