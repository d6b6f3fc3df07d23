// Selects the entries that a message carries: the entry of its receiver if that one is suspected,
// recent changes, and some of all entries in rotation.
#pragma once

#include <set>
#include <vector>

#include "cluster/types.hpp"
#include "swim/gossip_queue.hpp"
#include "swim/member_table.hpp"

namespace tideline::swim {

class Dissemination {
  public:
    // Queues the entry of `name` as changed.
    void add(const cluster::Name& name) {
        changes_.add(name);
    }
    void remove(const cluster::Name& name) {
        changes_.remove(name);
    }
    // Entries of members that have been gone since before `gossip_cutoff` are not sent in rotation.
    std::vector<cluster::Entry> entries_for(const cluster::Name& receiver,
                                            const cluster::Entry& self, const MemberTable& table,
                                            Seconds gossip_cutoff);

  private:
    void add_in_rotation(std::vector<cluster::Entry>& entries, std::set<cluster::Name>& included,
                         const MemberTable& table, Seconds gossip_cutoff);

    GossipQueue changes_;
    cluster::Name last_in_rotation_;  // the entry that was last sent in rotation
};

}  // namespace tideline::swim
