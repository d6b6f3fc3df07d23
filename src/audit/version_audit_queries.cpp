// VersionAudit: queries about members, and its own state as text for model checking and debugging.
#include <algorithm>

#include "audit/version_audit.hpp"

namespace tideline::audit {

Seconds VersionAudit::behind_for(Seconds now, const Name& name) const {
    if (name == self_) {
        Seconds longest = 0;
        for (const auto& [part, since] : self_behind_since_) {
            longest = std::max(longest, now - since);
        }
        return longest;
    }
    const PeerVersion* peer = peers_.find(name);
    return !peer || peer->behind_since < 0 ? 0 : now - peer->behind_since;
}

VersionStatus VersionAudit::status_of(Seconds now, const Name& name) const {
    const Seconds behind = behind_for(now, name);
    if (name == self_) {
        if (excluded_by_ruling_ && !self_behind_since_.empty()) {
            return VersionStatus::excluded;
        }
    } else {
        const PeerVersion* peer = peers_.find(name);
        if (!peer || peer->versions.empty()) {
            return VersionStatus::unheard;
        }
        if (is_excluded(name)) {
            return VersionStatus::excluded;
        }
    }
    return behind <= 0                 ? VersionStatus::current
           : behind <= settings_.grace ? VersionStatus::behind
                                       : VersionStatus::straggler;
}

std::string VersionAudit::state() const {
    std::string text;
    const auto add = [&text](auto... parts) {
        ((text += std::to_string(parts), text += ' '), ...);
    };
    for (const auto& [name, peer] : peers_.all()) {
        text += name.value;
        add(peer.incarnation.value, peer.gossiped.list.value, peer.gossiped.release.value,
            peer.last_heard, peer.behind_since, peer.last_asked, peer.excluded_by_ruling,
            static_cast<int>(peer.state));
        for (const auto& [part, version] : peer.versions) {
            add(static_cast<int>(part), version.rank, version.digest);
        }
    }
    for (const VersionPart part : kVersionParts) {
        add(peers_.required(part));
    }
    for (const auto& [part, versions] : adopted_) {
        for (const ContentVersion& version : versions.all()) {
            add(version.rank, version.digest);
        }
    }
    for (const auto& [part, since] : self_behind_since_) {
        add(static_cast<int>(part), since);
    }
    for (const auto& [part, transfer] : transfers_) {
        add(static_cast<int>(part), transfer.version.rank, transfer.version.digest,
            transfer.received);
        for (const Name& name : transfer.confirmed_by) {
            text += name.value;
        }
    }
    for (const auto& [part, at] : requested_at_) {
        add(static_cast<int>(part), at);
    }
    for (const auto& [name, at] : refusals_) {
        text += name.value;
        add(at);
    }
    add(transfer_request_count_, peer_asked_at_, excluded_by_ruling_, limit_alarm_raised_,
        static_cast<int>(trial_participation_), now_);
    return text;
}

}  // namespace tideline::audit
