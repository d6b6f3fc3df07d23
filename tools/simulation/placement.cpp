#include "replication/placement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulation/replication_simulation.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::simulation {
namespace {

using namespace replication;

constexpr std::uint32_t kRingPoints = 64;  // points of each member on the ring
using Members = std::map<Name, Place>;
using PlacementMethod = std::function<std::vector<Name>(std::uint32_t shard_id, const Members&)>;
constexpr std::size_t kReplicas = 2;

// Returns the first members in this order, in different places as far as there are enough places.
std::vector<Name> choose_in_different_places(const std::vector<Name>& order,
                                             const Members& members) {
    std::vector<Name> chosen;
    std::set<Place> used_places;
    for (const bool anywhere : {false, true}) {
        for (const Name& each : order) {
            if (chosen.size() >= kReplicas) {
                return chosen;
            }
            if (std::find(chosen.begin(), chosen.end(), each) != chosen.end()) {
                continue;
            }
            if (used_places.insert(members.at(each)).second || anywhere) {
                chosen.push_back(each);
            }
        }
    }
    return chosen;
}
// Baseline: consistent hashing on a ring of points.
std::vector<Name> place_on_ring(std::uint32_t shard_id, const Members& members) {
    std::map<std::uint64_t, Name> ring;
    for (const auto& [name, place] : members) {
        for (std::uint32_t i = 0; i < kRingPoints; ++i) {
            ring[XXH3_64bits_withSeed(name.value.data(), name.value.size(), i)] = name;
        }
    }
    std::vector<Name> order;
    auto point = ring.lower_bound(XXH3_64bits(&shard_id, sizeof shard_id));
    for (std::size_t i = 0; i < ring.size(); ++i, ++point) {
        if (point == ring.end()) {
            point = ring.begin();
        }
        order.push_back(point->second);
    }
    return choose_in_different_places(order, members);
}

// Baseline: the members in their order, beginning at the remainder of the shard number.
std::vector<Name> place_by_remainder(std::uint32_t shard_id, const Members& members) {
    std::vector<Name> order;
    for (const auto& [name, place] : members) {
        order.push_back(name);
    }
    std::rotate(order.begin(), order.begin() + shard_id % static_cast<std::uint32_t>(order.size()),
                order.end());
    return choose_in_different_places(order, members);
}

// The members with the replicas of each shard.
using ReplicaSets = std::vector<std::vector<Name>>;

ReplicaSets place_all_shards(const PlacementMethod& method, std::uint32_t shards,
                             const Members& members) {
    ReplicaSets table;
    for (std::uint32_t i = 0; i < shards; ++i) {
        table.push_back(method(i, members));
    }
    return table;
}

// Returns the number of replicas at the fullest member, divided by an even share.
double imbalance(const ReplicaSets& table, std::size_t members) {
    std::map<Name, double> counts;
    for (const auto& replicas : table) {
        for (const Name& name : replicas) {
            ++counts[name];
        }
    }
    double fullest = 0;
    for (const auto& [name, count] : counts) {
        fullest = std::max(fullest, count);
    }
    const double even_share =
        static_cast<double>(table.size()) * kReplicas / static_cast<double>(members);
    return fullest / even_share;
}

// Returns the share of the replicas that move to another member.
double moved_share(const ReplicaSets& before, const ReplicaSets& after) {
    double count = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
        for (const Name& name : after[i]) {
            const bool moved =
                std::find(before[i].begin(), before[i].end(), name) == before[i].end();
            count += moved ? 1 : 0;
        }
    }
    return count / (static_cast<double>(before.size()) * kReplicas);
}

// Returns this number of members, with one place for every three members and at least three places.
Members make_members(int count) {
    Members members;
    for (int i = 0; i < count; ++i) {
        members[Name{fmt::format("m{}", i)}] =
            Place{fmt::format("p{}", i % std::max(3, count / 3))};
    }
    return members;
}

void print_row(const std::string& name, const PlacementMethod& method, int count,
               std::uint32_t shards) {
    const Members members = make_members(count);
    Members members_after_leave = members;
    members_after_leave.erase(Name{"m1"});
    Members members_after_join = members;
    members_after_join[Name{"new"}] = Place{"p0"};
    const ReplicaSets table = place_all_shards(method, shards, members);
    fmt::print("| {} | {} | {} | {:.2f} | {:.3f} | {:.3f} | {:.3f} |\n", count, shards, name,
               imbalance(table, members.size()),
               moved_share(table, place_all_shards(method, shards, members_after_leave)),
               moved_share(table, place_all_shards(method, shards, members_after_join)),
               1.0 / count);
    std::fflush(stdout);
}

}  // namespace

void measure_placement() {
    fmt::print(
        "2 replicas, a place for every 3 members; imbalance: replicas at the fullest member over "
        "an even share; moved: share of the replicas that move when one member leaves or joins; "
        "the minimum is 1/members\n\n"
        "| members | shards | method | imbalance | moved on leave | moved on join | minimum |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n");
    const std::vector<std::pair<std::string, PlacementMethod>> methods = {
        {"rendezvous",
         [](std::uint32_t shard_id, const Members& members) {
             return place_replicas(ShardId{shard_id}, members, kReplicas);
         }},
        {"ring, 64 points a member", place_on_ring},
        {"divided", place_by_remainder}};
    for (const int count : {5, 20, 100, 200}) {
        for (const std::uint32_t shards : {256U, 1024U}) {
            for (const auto& [name, method] : methods) {
                const bool takes_too_long = count > 20 && shards > 256 && name.starts_with("ring");
                if (!takes_too_long) {
                    print_row(name, method, count, shards);
                }
            }
        }
    }
}

}  // namespace tideline::simulation
