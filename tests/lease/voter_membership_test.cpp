// Tests of the order in which the voter set changes.
#include "raft/voter_membership.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace tideline::test {

TEST_CASE("the voter set changes by one vote at a time, and a lost disk loses its vote first",
          "[lease]") {
    using namespace raft;
    VoterMembership voter_membership;
    voter_membership.admit(Name{"p1"}, {1}, "a");
    voter_membership.admit(Name{"p2"}, {2}, "b");
    VoterSet now{{{1}, {Name{"p1"}, "a", true}}, {{2}, {Name{"p2"}, "b", true}}};
    const auto ready = [](ServerId) { return true; };
    CHECK(!voter_membership.next_voter_set(now, ready));
    voter_membership.admit(Name{"p2"}, {20}, "b");
    std::vector<std::size_t> votes;
    while (const auto next = voter_membership.next_voter_set(now, ready)) {
        std::size_t differ = 0;
        std::size_t count = 0;
        for (const std::uint64_t peer : {1, 2, 20}) {
            const auto votes_in = [&](const VoterSet& in) {
                return in.contains({peer}) && in.at({peer}).votes;
            };
            differ += votes_in(now) != votes_in(*next);
            count += votes_in(*next);
        }
        REQUIRE(differ <= 1);
        now = *next;
        votes.push_back(count);
    }
    CHECK(votes == std::vector<std::size_t>{2, 1, 2});
    CHECK((now.at({20}).votes && !now.contains({2})));
    voter_membership.remove(Name{"p1"});
    voter_membership.remove(Name{"p2"});
    CHECK(voter_membership.target_voters().size() == 1);  // the last planner is not removed
}

}  // namespace tideline::test
