// The versions that the other members act on, as reported by their own messages and by gossip, and
// whether each member lags behind the version that is required of all.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "audit/content_version.hpp"
#include "cluster/types.hpp"

namespace tideline::audit {

struct PeerVersion {
    cluster::Incarnation incarnation;
    std::map<VersionPart, ContentVersion> versions;  // reported by its own messages
    cluster::Version gossiped;                       // lower bounds, reported by gossip
    Seconds last_heard = kNever;                     // when its last own message arrived
    // Since when its own messages report a version behind the required one; negative if none does.
    Seconds behind_since = -1;
    Seconds last_asked = kNever;      // when it was last asked for its versions
    bool excluded_by_ruling = false;  // a member has ruled that it is excluded
    cluster::MemberState state = cluster::MemberState::present;

    static constexpr Seconds kNever = -1e18;
    // Returns 0 if the member has not reported that part itself.
    std::uint64_t rank(VersionPart part) const;
    bool reachable() const {
        return state <= cluster::MemberState::suspected;
    }
    // Returns whether its own messages have reported a version behind the required one for longer
    // than `grace`.
    bool lags(Seconds now, Seconds grace) const {
        return behind_since >= 0 && now > behind_since + grace;
    }
};

// Counts of the members, this one included, by what they have reported recently.
struct Quorum {
    std::size_t members = 1;   // members that have not left
    std::size_t heard = 1;     // members heard from recently
    std::size_t agreeing = 1;  // members heard from recently that have no newer version
};

class PeerVersions {
  public:
    using Peers = std::map<cluster::Name, PeerVersion>;

    // Returns the entry for that incarnation of the peer. A later incarnation replaces the entry;
    // for an earlier one, nullptr is returned. The pointer is valid until the peer is removed.
    PeerVersion* entry_for_incarnation(const cluster::Name& name,
                                       const cluster::Incarnation& incarnation);
    void remove(const cluster::Name& name) {
        peers_.erase(name);
    }
    // Stores the versions that the peer reports. Returns whether they have changed.
    static bool set_versions(PeerVersion& peer, const ContentVersion& list,
                             const ContentVersion& release);
    // Raises the required rank to the highest rank that `witnesses` members, this one with
    // `own_rank` included, report to act on. The required rank never falls. Returns false if fewer
    // members are known.
    bool raise_required(VersionPart part, std::uint64_t own_rank, int witnesses);
    std::uint64_t required(VersionPart part) const {
        return required_.at(part);
    }
    bool behind_required(const PeerVersion& peer) const;
    bool gossiped_behind_required(const PeerVersion& peer) const;

    const PeerVersion* find(const cluster::Name& name) const;
    const Peers& all() const {
        return peers_;
    }
    Peers& all() {
        return peers_;
    }
    // Returns the members that are reachable, not excluded, and report `least` or a later rank.
    std::vector<cluster::Name> holders_of(VersionPart part, std::uint64_t least) const;
    std::size_t count_gone() const;
    // Returns how many members may be excluded or gone: `share` of the members that have not left,
    // this one included.
    std::size_t max_excluded(double share) const;
    // Returns the members that are excluded by a ruling and lag, limited to the number that may be
    // excluded. They are selected in the order of names, so that all members select the same ones.
    std::vector<cluster::Name> excluded(Seconds now, Seconds grace, double share) const;
    bool is_excluded(const cluster::Name& name, Seconds now, Seconds grace, double share) const;
    Quorum quorum(Seconds heard_since, std::uint64_t own_list, std::uint64_t own_release) const;
    // Returns how many of the members that may rule on exclusions precede `self` by name. These are
    // the members that are present and not behind.
    std::size_t count_rulers_before(const cluster::Name& self) const;

  private:
    Peers peers_;
    std::map<VersionPart, std::uint64_t> required_{{VersionPart::list, 0},
                                                   {VersionPart::release, 0}};
};

}  // namespace tideline::audit
