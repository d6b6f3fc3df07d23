#include "swim/dissemination.hpp"

#include <cmath>

namespace tideline::swim {
namespace {

using cluster::Entry;
using cluster::MemberState;
using cluster::Name;

// Times log2 of the cluster's size that a change is sent: reaches all but few.
constexpr double kTransmissionFactor = 3;
// Entries a message: recent changes.
constexpr std::size_t kMaxChanges = 6;
// Entries a message sent in turn: what a lost message held comes again.
constexpr std::size_t kMaxInTurn = 4;

}  // namespace

std::vector<Entry> Dissemination::entries_for(const Name& receiver, const Entry& self,
                                              const MemberTable& table, Seconds too_old) {
    std::vector<Entry> entries;
    std::set<Name> included;
    // A suspect learns of it in the first message, so that it can refute.
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
    add_in_turn(entries, included, table, too_old);
    return entries;
}

// A change that was lost on the way to one member would stay unknown to it. So all entries are sent
// in turn, a few a message; but not those that will soon be forgotten, or they would be passed on
// for ever.
void Dissemination::add_in_turn(std::vector<Entry>& entries, std::set<Name>& included,
                                const MemberTable& table, Seconds too_old) {
    for (std::size_t i = 0; i < kMaxInTurn && !table.entries().empty(); ++i) {
        const Entry& entry = table.entry_after(last_in_turn_);
        last_in_turn_ = entry.name;
        if (!table.gone_before(entry.name, too_old) && included.insert(entry.name).second) {
            entries.push_back(entry);
        }
    }
}

}  // namespace tideline::swim
