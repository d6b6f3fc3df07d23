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

constexpr std::uint32_t kRingPoints = 64;  // of each member
using Members = std::map<Name, Place>;
using Method = std::function<std::vector<Name>(std::uint32_t shard_id, const Members&)>;
constexpr std::size_t kReplicas = 2;

// The first members in this order, in different places as far as there are enough.
std::vector<Name> spread_over(const std::vector<Name>& order, const Members& members) {
    std::vector<Name> chosen;
    std::set<Place> used;
    for (const bool anywhere : {false, true}) {
        for (const Name& each : order) {
            if (chosen.size() >= kReplicas) {
                return chosen;
            }
            if (std::find(chosen.begin(), chosen.end(), each) != chosen.end()) {
                continue;
            }
            if (used.insert(members.at(each)).second || anywhere) {
                chosen.push_back(each);
            }
        }
    }
    return chosen;
}
// Baseline: consistent hashing on a ring of points.
std::vector<Name> on_ring(std::uint32_t shard_id, const Members& members) {
    std::map<std::uint64_t, Name> ring;
    for (const auto& [name, place] : members) {
        for (std::uint32_t i = 0; i < kRingPoints; ++i) {
            ring[XXH3_64bits_withSeed(name.value.data(), name.value.size(), i)] = name;
        }
    }
    std::vector<Name> order;
    auto at = ring.lower_bound(XXH3_64bits(&shard_id, sizeof shard_id));
    for (std::size_t i = 0; i < ring.size(); ++i, ++at) {
        if (at == ring.end()) {
            at = ring.begin();
        }
        order.push_back(at->second);
    }
    return spread_over(order, members);
}

// Baseline: the members in turn, beginning at the remainder of the shard number.
std::vector<Name> by_remainder(std::uint32_t shard_id, const Members& members) {
    std::vector<Name> order;
    for (const auto& [name, place] : members) {
        order.push_back(name);
    }
    std::rotate(order.begin(), order.begin() + shard_id % static_cast<std::uint32_t>(order.size()),
                order.end());
    return spread_over(order, members);
}

// The replica sets of all shards.
using Table = std::vector<std::vector<Name>>;

Table place_all(const Method& method, std::uint32_t shards, const Members& members) {
    Table table;
    for (std::uint32_t i = 0; i < shards; ++i) {
        table.push_back(method(i, members));
    }
    return table;
}

// The replicas at the fullest member over an even share.
double imbalance(const Table& table, std::size_t members) {
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

// The share of the replicas that change hands.
double moved_share(const Table& before, const Table& after) {
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

// Members in as many places as there is a place for every three.
Members make_members(int count) {
    Members members;
    for (int i = 0; i < count; ++i) {
        members[Name{fmt::format("m{}", i)}] =
            Place{fmt::format("p{}", i % std::max(3, count / 3))};
    }
    return members;
}

void print_row(const std::string& name, const Method& method, int count, std::uint32_t shards) {
    const Members members = make_members(count);
    Members fewer = members;
    fewer.erase(Name{"m1"});
    Members more = members;
    more[Name{"new"}] = Place{"p0"};
    const Table table = place_all(method, shards, members);
    fmt::print("| {} | {} | {} | {:.2f} | {:.3f} | {:.3f} | {:.3f} |\n", count, shards, name,
               imbalance(table, members.size()),
               moved_share(table, place_all(method, shards, fewer)),
               moved_share(table, place_all(method, shards, more)), 1.0 / count);
    std::fflush(stdout);
}

}  // namespace

void measure_placement() {
    fmt::print(
        "2 copies, a place for every 3 members; imbalance: copies at the fullest member over an "
        "even share; moved: copies that change hands when one member comes or goes, of all; the "
        "least that have to is 1/members\n\n"
        "| members | slots | way | imbalance | moved, one goes | moved, one comes | least |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n");
    const std::vector<std::pair<std::string, Method>> methods = {
        {"rendezvous",
         [](std::uint32_t shard_id, const Members& members) {
             return place_replicas(ShardId{shard_id}, members, kReplicas);
         }},
        {"ring, 64 points a member", on_ring},
        {"divided", by_remainder}};
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
