#include "swim/dissemination.hpp"

#include <cmath>

namespace tideline::swim {
namespace {

using cluster::Entry;
using cluster::MemberState;
using cluster::Name;

// A change is sent this number of times log2 of the cluster size, which reaches all but a few
// members.
constexpr double kTransmissionFactor = 3;
// Recent changes per message.
constexpr std::size_t kMaxChanges = 6;
// Entries per message that are sent in rotation. They repeat what lost messages carried.
constexpr std::size_t kMaxInRotation = 4;

}  // namespace

std::vector<Entry> Dissemination::entries_for(const Name& receiver, const Entry& self,
                                              const MemberTable& table, Seconds gossip_cutoff) {
    std::vector<Entry> entries;
    std::set<Name> included;
    // A suspected member learns of the suspicion from the first message to it, so that it can
    // refute it.
    if (const Entry* entry = table.find(receiver); entry && entry->state != MemberState::present) {
        entries.push_back(*entry);
        included.insert(receiver);
    }
    const double size = table.cluster_size();
    const int transmissions =
        static_cast<int>(std::ceil(kTransmissionFactor * std::log2(size + 1)));
    for (const Name& name : changes_.take(kMaxChanges, transmissions, included)) {
        entries.push_back(name == self.name ? self : *table.find(name));
    }
    add_in_rotation(entries, included, table, gossip_cutoff);
    return entries;
}

// A member that missed a change would otherwise never learn of it. All entries are therefore sent
// in rotation, a few per message. Entries that will soon be forgotten are left out, because they
// would circulate for ever.
void Dissemination::add_in_rotation(std::vector<Entry>& entries, std::set<Name>& included,
                                    const MemberTable& table, Seconds gossip_cutoff) {
    for (std::size_t i = 0; i < kMaxInRotation && !table.entries().empty(); ++i) {
        const Entry& entry = table.entry_after(last_in_rotation_);
        last_in_rotation_ = entry.name;
        if (!table.gone_before(entry.name, gossip_cutoff) && included.insert(entry.name).second) {
            entries.push_back(entry);
        }
    }
}

}  // namespace tideline::swim
