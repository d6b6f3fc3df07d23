#include "audit/peer_versions.hpp"

#include <algorithm>
#include <functional>

namespace tideline::audit {

using cluster::Incarnation;
using cluster::MemberState;
using cluster::Name;

std::uint64_t PeerVersion::rank(VersionPart part) const {
    const auto it = versions.find(part);
    return it == versions.end() ? 0 : it->second.rank;
}

PeerVersion* PeerVersions::entry_for_incarnation(const Name& name, const Incarnation& incarnation) {
    PeerVersion& peer = peers_[name];
    if (incarnation < peer.incarnation) {
        return nullptr;
    }
    // A restarted member may start with older versions.
    if (incarnation > peer.incarnation) {
        peer = PeerVersion{};
        peer.incarnation = incarnation;
    }
    return &peer;
}

// Ranks never fall within an incarnation, so a lower rank is ignored.
bool PeerVersions::set_versions(PeerVersion& peer, const ContentVersion& list,
                                const ContentVersion& release) {
    const auto before = peer.versions;
    if (list.rank >= peer.rank(VersionPart::list)) {
        peer.versions[VersionPart::list] = list;
    }
    if (release.rank >= peer.rank(VersionPart::release)) {
        peer.versions[VersionPart::release] = release;
    }
    return peer.versions != before;
}

// A single faulty member that reports a version which nobody has would otherwise get all others
// excluded. A version is therefore required only once enough members report it, each by its own
// messages and counted once.
bool PeerVersions::raise_required(VersionPart part, std::uint64_t own_rank, int witnesses) {
    std::vector<std::uint64_t> ranks{own_rank};
    for (const auto& [name, peer] : peers_) {
        ranks.push_back(peer.rank(part));
    }
    const auto nth = static_cast<std::size_t>(witnesses - 1);
    if (ranks.size() <= nth) {
        return false;
    }
    std::nth_element(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(nth), ranks.end(),
                     std::greater<>());
    required_[part] = std::max(required_[part], ranks[nth]);
    return true;
}

bool PeerVersions::behind_required(const PeerVersion& peer) const {
    return std::any_of(kVersionParts.begin(), kVersionParts.end(),
                       [&](VersionPart part) { return peer.rank(part) < required(part); });
}

bool PeerVersions::gossiped_behind_required(const PeerVersion& peer) const {
    return peer.gossiped.list.value < required(VersionPart::list) ||
           peer.gossiped.release.value < required(VersionPart::release);
}

const PeerVersion* PeerVersions::find(const Name& name) const {
    const auto it = peers_.find(name);
    return it == peers_.end() ? nullptr : &it->second;
}

std::vector<Name> PeerVersions::holders_of(VersionPart part, std::uint64_t least) const {
    std::vector<Name> names;
    for (const auto& [name, peer] : peers_) {
        const bool excluded_here = peer.excluded_by_ruling && behind_required(peer);
        if (peer.reachable() && !excluded_here && peer.rank(part) >= least) {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t PeerVersions::count_gone() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [](const auto& each) { return each.second.state == MemberState::gone; }));
}

std::size_t PeerVersions::max_excluded(double share) const {
    const auto left = std::count_if(peers_.begin(), peers_.end(), [](const auto& each) {
        return each.second.state == MemberState::left;
    });
    const std::size_t members = 1 + peers_.size() - static_cast<std::size_t>(left);
    return static_cast<std::size_t>(share * static_cast<double>(members));
}

// A faulty member may rule that all others are excluded. A ruling therefore takes effect here only
// against members that lag according to their own messages to this one, and only up to the limit.
std::vector<Name> PeerVersions::excluded(Seconds now, Seconds grace, double share) const {
    std::vector<Name> names;
    for (const auto& [name, peer] : peers_) {
        if (peer.reachable() && peer.excluded_by_ruling && peer.lags(now, grace)) {
            names.push_back(name);
        }
    }
    const std::size_t limit = max_excluded(share);
    const std::size_t remaining = limit > count_gone() ? limit - count_gone() : 0;
    if (names.size() > remaining) {
        names.resize(remaining);
    }
    return names;
}

bool PeerVersions::is_excluded(const Name& name, Seconds now, Seconds grace, double share) const {
    const PeerVersion* peer = find(name);
    if (!peer || !peer->excluded_by_ruling || !peer->lags(now, grace)) {
        return false;
    }
    const auto names = excluded(now, grace, share);
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::size_t PeerVersions::count_rulers_before(const Name& self) const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
            const auto& [name, peer] = each;
            return name < self && peer.state == MemberState::present && !peer.versions.empty() &&
                   !behind_required(peer);
        }));
}

Quorum PeerVersions::quorum(Seconds heard_since, std::uint64_t own_list,
                            std::uint64_t own_release) const {
    Quorum quorum;
    for (const auto& [name, peer] : peers_) {
        quorum.members += peer.state != MemberState::left ? 1 : 0;
        if (peer.last_heard <= heard_since) {
            continue;
        }
        ++quorum.heard;
        const bool agrees = peer.rank(VersionPart::list) <= own_list &&
                            peer.rank(VersionPart::release) <= own_release;
        quorum.agreeing += agrees ? 1 : 0;
    }
    return quorum;
}

}  // namespace tideline::audit
