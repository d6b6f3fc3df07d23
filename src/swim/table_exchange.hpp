// Complete tables, which members send to others that join or return after a partition.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/types.hpp"
#include "swim/member_table.hpp"

namespace tideline::swim {

class TableExchange {
  public:
    using Parts = std::vector<std::vector<cluster::Entry>>;  // one part per message

    // Returns the table for `receiver`, without the members that have been gone since before
    // `gossip_cutoff`. Returns nothing if a table was sent there less than `interval` seconds ago.
    Parts parts_for(Seconds now, const cluster::Name& receiver, Seconds interval,
                    const cluster::Entry& self, const MemberTable& table, Seconds gossip_cutoff);
    void forget(const cluster::Name& name) {
        last_sent_.erase(name);
    }

  private:
    std::map<cluster::Name, Seconds> last_sent_;
};

// Returns the addresses at which to request a table: seeds at which no reachable member listens,
// and members that are gone.
std::vector<std::string> addresses_to_rejoin(const std::string& own_address,
                                             const std::vector<std::string>& seeds,
                                             const MemberTable& table);

}  // namespace tideline::swim
