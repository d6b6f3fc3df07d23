#include "swim/table_exchange.hpp"

#include <algorithm>

namespace tideline::swim {
namespace {

using cluster::Entry;
using cluster::MemberState;
using cluster::Name;

constexpr std::size_t kMaxEntriesPerPart = 64;
constexpr Seconds kNever = -1e18;

bool reachable_at(const std::string& address, const MemberTable& table) {
    return std::any_of(table.entries().begin(), table.entries().end(), [&](const auto& each) {
        return each.second.address == address && cluster::is_reachable(each.second);
    });
}

}  // namespace

TableExchange::Parts TableExchange::parts_for(Seconds now, const Name& receiver, Seconds interval,
                                              const Entry& self, const MemberTable& table,
                                              Seconds gossip_cutoff) {
    Seconds& last = last_sent_.try_emplace(receiver, kNever).first->second;
    if (now < last + interval) {
        return {};
    }
    last = now;
    Parts parts(1);
    parts.back().push_back(self);
    for (const auto& [name, entry] : table.entries()) {
        if (table.gone_before(name, gossip_cutoff)) {
            continue;
        }
        parts.back().push_back(entry);
        if (parts.back().size() >= kMaxEntriesPerPart) {
            parts.emplace_back();
        }
    }
    return parts;
}

std::vector<std::string> addresses_to_rejoin(const std::string& own_address,
                                             const std::vector<std::string>& seeds,
                                             const MemberTable& table) {
    std::vector<std::string> addresses;
    for (const std::string& seed : seeds) {
        if (seed != own_address && !reachable_at(seed, table)) {
            addresses.push_back(seed);
        }
    }
    for (const auto& [name, since] : table.gone_since()) {
        const Entry& entry = *table.find(name);
        if (entry.state == MemberState::gone) {
            addresses.push_back(entry.address);
        }
    }
    return addresses;
}

}  // namespace tideline::swim
