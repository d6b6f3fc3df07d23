// Types of the cluster: members, their incarnations, and what is known of each.
#pragma once

#include <string>
#include <vector>

#include "policy/types.hpp"

namespace tideline::cluster {

using Name = Id<struct NameTag, std::string>;  // of a member; unchanged by a restart
// Of a process; higher at each start.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
// How often a member has refuted a suspicion of itself.
using RefutationCount = Id<struct RefutationTag, std::uint32_t>;
using Disk = Id<struct DiskTag, std::uint64_t>;      // drawn when its folder is first used; 0: none
using Place = Id<struct PlaceTag, std::string>;      // failure domain: its members fail together
using PingId = Id<struct PingIdTag, std::uint64_t>;  // identifies a ping of one member
using ListRevision = Id<struct ListTag, std::uint64_t>;  // the revision of the endpoint list
// Rank of a release status by build, phase and stage.
using ReleaseRank = Id<struct ReleaseRankTag, std::uint64_t>;

enum class MemberState { present, suspected, gone, left };  // later states override earlier ones

// The versions that a member acts on. Neither part decreases within an incarnation.
struct Version {
    ListRevision list;
    ReleaseRank release;
    bool operator==(const Version&) const = default;
};

// The gossiped state of a member.
struct Entry {
    Name name;
    Incarnation incarnation;
    RefutationCount refutation_count;
    MemberState state = MemberState::present;
    Name suspected_by;    // the member that suspects it; empty if none does
    std::string address;  // host:port
    Place place;
    Disk disk;
    Version version;                  // lower bounds, by gossip
    std::uint32_t ruling_number = 0;  // number of the last ruling on its exclusion
    bool excluded = false;            // by the last ruling
};

// Returns whether the member has neither left nor been declared gone.
inline bool is_reachable(const Entry& entry) {
    return entry.state <= MemberState::suspected;
}

// Ranks release statuses by build, then phase, then stage. The phases follow each other in the
// order trial, released, reverting, withdrawn, and never go back within a build.
inline ReleaseRank rank_of(Build build, Stage stage, Phase phase) {
    const auto place = phase == Phase::trial       ? 0
                       : phase == Phase::released  ? 1
                       : phase == Phase::reverting ? 2
                                                   : 3;
    return {(static_cast<std::uint64_t>(build.value) << 20) |
            (static_cast<std::uint64_t>(place) << 16) |
            (static_cast<std::uint64_t>(stage.value) & 0xffff)};
}

}  // namespace tideline::cluster
