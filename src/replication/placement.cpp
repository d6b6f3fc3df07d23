#include "replication/placement.hpp"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::replication {

std::vector<Name> place_replicas(ShardId shard_id, const std::map<Name, Place>& members,
                                 std::size_t wanted) {
    std::vector<std::pair<std::uint64_t, const Name*>> order;
    order.reserve(members.size());
    for (const auto& [name, place] : members) {
        order.emplace_back(
            XXH3_64bits_withSeed(name.value.data(), name.value.size(), shard_id.value + 1), &name);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    });
    std::vector<Name> chosen;
    std::set<Place> used_places;
    // Two replicas in one place may be lost together. A place is used twice only if there are fewer
    // places than replicas.
    for (const bool may_share_place : {false, true}) {
        for (const auto& [weight, name] : order) {
            if (chosen.size() >= wanted) {
                return chosen;
            }
            if (std::find(chosen.begin(), chosen.end(), *name) != chosen.end()) {
                continue;
            }
            if (used_places.insert(members.at(*name)).second || may_share_place) {
                chosen.push_back(*name);
            }
        }
    }
    return chosen;
}

}  // namespace tideline::replication
