// Tests of the placement of replicas.
#include "replication/placement.hpp"

#include <rapidcheck.h>

#include "replication_fixture.hpp"

namespace tideline::test {

TEST_CASE("replicas of a shard are in different places, and few move when a member leaves") {
    REQUIRE(rc::check([] {
        const auto count = *rc::gen::inRange(3, 30);
        const auto wanted = static_cast<std::size_t>(*rc::gen::inRange(1, 4));
        const auto places = *rc::gen::inRange(3, 8);
        std::map<Name, Place> members;
        for (int i = 0; i < count; ++i) {
            members[Name{"m" + std::to_string(i)}] = Place{"p" + std::to_string(i % places)};
        }
        const ShardId shard_id{static_cast<std::uint32_t>(*rc::gen::inRange(0, 1000))};
        const auto all = place_replicas(shard_id, members, wanted);
        RC_ASSERT(all.size() == wanted);
        std::set<Place> used;
        for (const Name& each : all) {
            used.insert(members[each]);
        }
        RC_ASSERT(used.size() == wanted);
        // If a member without a replica of the shard leaves, nothing moves.
        auto fewer = members;
        const Name gone{"m" + std::to_string(*rc::gen::inRange(0, count))};
        fewer.erase(gone);
        if (std::find(all.begin(), all.end(), gone) == all.end())
            RC_ASSERT(place_replicas(shard_id, fewer, wanted) == all);
        // If each member has a place of its own, the remaining members keep their replicas.
        std::map<Name, Place> in_distinct_places;
        for (const auto& [name, place] : members) {
            in_distinct_places[name] = Place{name.value};
        }
        const auto before = place_replicas(shard_id, in_distinct_places, wanted);
        in_distinct_places.erase(gone);
        const auto after = place_replicas(shard_id, in_distinct_places, wanted);
        std::size_t stays = 0;
        for (const Name& each : before) {
            stays += std::find(after.begin(), after.end(), each) != after.end();
        }
        RC_ASSERT(stays + 1 >= std::min(before.size(), after.size()));
    }));
}

}  // namespace tideline::test
