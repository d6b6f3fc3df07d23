#include "audit/version_audit.hpp"

#include <algorithm>
#include <utility>

namespace tideline::audit {
namespace {

// A member that lags requests a transfer after this time, and again at this interval.
constexpr double kTransferRequestIntervalInGraces = 0.5;
// A transfer that is not confirmed within this time is dropped.
constexpr double kTransferTimeoutInGraces = 2;
// Members that may rule on exclusions; they take turns in the order of names.
constexpr std::size_t kMaxRulers = 8;
// Interval at which one member is asked for its versions, in a cluster of any size.
constexpr double kVersionRequestIntervalInGraces = 0.5;
// Rulings are based only on messages that are not older than this.
constexpr double kMaxMessageAgeInGraces = 2;
// Members that may readmit another take turns: this many of them within one grace.
constexpr double kReadmitTurnsPerGrace = 4;
// Members asked to confirm a transfer, for each confirmation that is required.
constexpr int kConfirmationRequestsPerWitness = 2;

}  // namespace

VersionAudit::VersionAudit(VersionAuditHost& host, const VersionAuditSettings& settings, Name self,
                           Seconds now)
    : host_(&host), settings_(settings), self_(std::move(self)), start_(now), now_(now) {}
VersionAudit::VersionAudit(const VersionAudit& other, VersionAuditHost& host)
    : VersionAudit(other) {
    host_ = &host;
}

std::uint64_t VersionAudit::rank(VersionPart part) const {
    const auto it = adopted_.find(part);
    return it == adopted_.end() ? 0 : it->second.rank();
}

bool VersionAudit::confirms(VersionPart part, const ContentVersion& version) const {
    const auto it = adopted_.find(part);
    return it != adopted_.end() && it->second.contains(version);
}

bool VersionAudit::is_excluded(const Name& name) const {
    return peers_.is_excluded(name, now_, settings_.grace, settings_.max_excluded_share);
}

std::vector<Name> VersionAudit::excluded_members() const {
    return peers_.excluded(now_, settings_.grace, settings_.max_excluded_share);
}

// --- Required versions
void VersionAudit::raise_required(Seconds now) {
    now_ = now;
    for (const VersionPart part : kVersionParts) {
        if (!peers_.raise_required(part, rank(part), settings_.witnesses)) {
            continue;
        }
        if (self_behind(part)) {
            self_behind_since_.try_emplace(part, now);
        } else {
            self_behind_since_.erase(part);
        }
    }
}

void VersionAudit::set_own_version(Seconds now, VersionPart part, const ContentVersion& version) {
    if (!adopted_[part].add(version)) {
        return host_->raise_audit_alarm(part == VersionPart::list
                                            ? "endpoint list revision is lower than before"
                                            : "release status is older than before");
    }
    if (const auto it = transfers_.find(part);
        it != transfers_.end() && it->second.version.rank <= version.rank) {
        transfers_.erase(it);
    }
    raise_required(now);
    review_participation(now);
}

void VersionAudit::on_peer_version(Seconds now, const Name& name, const Incarnation& incarnation,
                                   const ContentVersion& list, const ContentVersion& release) {
    if (name == self_) {
        return;
    }
    PeerVersion* peer = peers_.entry_for_incarnation(name, incarnation);
    if (!peer) {
        return;
    }
    now_ = now;
    peer->last_heard = now;
    // In a cluster of a thousand members, many messages arrive and few report a change. Only
    // changes are processed further.
    const bool changed = PeerVersions::set_versions(*peer, list, release);
    if (changed) {
        raise_required(now);
    }
    // A message from before the required version rose does not show that the peer lags; only a
    // later message does.
    if (!peers_.behind_required(*peer)) {
        peer->behind_since = -1;
    } else if (peer->behind_since < 0) {
        peer->behind_since = now;
    }
    if (is_excluded(name)) {
        host_->notify_excluded(name);
    }
    if (changed || trial_participation_ != TrialParticipation::open) {
        review_participation(now);
    }
}

void VersionAudit::on_gossip(Seconds, const cluster::Entry& entry) {
    if (entry.name == self_) {
        return;
    }
    PeerVersion* peer = peers_.entry_for_incarnation(entry.name, entry.incarnation);
    if (!peer) {
        return;
    }
    peer->state = entry.state;
    peer->excluded_by_ruling = entry.excluded;
    peer->gossiped = entry.version;
}

// --- State transfer to this member
void VersionAudit::request_transfers(Seconds now) {
    for (const VersionPart part : kVersionParts) {
        if (const auto it = transfers_.find(part);
            it != transfers_.end() &&
            now > it->second.received + kTransferTimeoutInGraces * settings_.grace) {
            transfers_.erase(it);
        }
        const auto since = self_behind_since_.find(part);
        const bool lags = since != self_behind_since_.end() &&
                          now >= since->second + kTransferRequestIntervalInGraces * settings_.grace;
        if (lags || excluded_by_ruling_) {
            request_transfer(now, part);
        }
    }
}

void VersionAudit::request_transfer(Seconds now, VersionPart part) {
    Seconds& requested_at = requested_at_.try_emplace(part, PeerVersion::kNever).first->second;
    if (now < requested_at + kTransferRequestIntervalInGraces * settings_.grace) {
        return;
    }
    const auto names = peers_.holders_of(part, std::max(peers_.required(part), rank(part) + 1));
    if (names.empty()) {
        return;
    }
    requested_at = now;
    host_->request_transfer(names[transfer_request_count_++ % names.size()], part);
}

// A single member may send wrong content. It is adopted only once as many members confirm exactly
// that content as are needed to require a version, and only if it is newer than what this member
// acts on.
void VersionAudit::transfer_received(Seconds now, const Name& by, VersionPart part,
                                     const ContentVersion& version) {
    if (version.rank <= rank(part) || !peers_.find(by)) {
        return;
    }
    transfers_[part] = {version, {by}, now};
    int asked = 0;
    for (const Name& name : peers_.holders_of(part, version.rank)) {
        if (name != by && asked++ < kConfirmationRequestsPerWitness * settings_.witnesses) {
            host_->request_confirmation(name, part, version);
        }
    }
    confirmation_received(now, by, part, version, true);
}

void VersionAudit::confirmation_received(Seconds now, const Name& by, VersionPart part,
                                         const ContentVersion& version, bool yes) {
    const auto it = transfers_.find(part);
    if (it == transfers_.end() || it->second.version != version || !yes || !peers_.find(by)) {
        return;
    }
    if (is_excluded(by)) {
        return;
    }
    it->second.confirmed_by.insert(by);
    // Unlike for a required version, this member itself does not count: it cannot confirm content
    // that it lacks.
    if (static_cast<int>(it->second.confirmed_by.size()) < settings_.witnesses) {
        return;
    }
    transfers_.erase(it);
    if (version.rank <= rank(part)) {
        return;
    }
    host_->apply_version(part, version);
    set_own_version(now, part, version);
}

// --- Exclusion and readmission
void VersionAudit::review_peers(Seconds now) {
    const Seconds fresh_since = now - kMaxMessageAgeInGraces * settings_.grace;
    ask_next_peer(now, fresh_since);
    if (self_behind() || trial_participation_ != TrialParticipation::open) {
        return;
    }
    const std::size_t order = peers_.count_rulers_before(self_);
    if (order >= kMaxRulers) {
        return;
    }
    exclude_lagging(now, fresh_since, order);
}

// Gossip is old in a large cluster, so it only determines whom to ask. One peer is asked at a time:
// the one that was asked longest ago.
void VersionAudit::ask_next_peer(Seconds now, Seconds fresh_since) {
    PeerVersion* next = nullptr;
    const Name* next_name = nullptr;
    for (auto& [name, peer] : peers_.all()) {
        const bool lags = peers_.gossiped_behind_required(peer) || peer.behind_since >= 0;
        if (!peer.reachable() || !lags || peer.last_heard > fresh_since) {
            continue;
        }
        if (!next || peer.last_asked < next->last_asked) {
            next = &peer;
            next_name = &name;
        }
    }
    if (next && now >= peer_asked_at_ + kVersionRequestIntervalInGraces * settings_.grace) {
        next->last_asked = now;
        peer_asked_at_ = now;
        host_->request_versions(*next_name);
    }
}

// Returns whether this member has acted on the same content that the peer reports in its own
// messages.
bool VersionAudit::proven_current(const PeerVersion& peer) const {
    return std::all_of(kVersionParts.begin(), kVersionParts.end(), [&](VersionPart part) {
        const auto it = peer.versions.find(part);
        return it != peer.versions.end() && (it->second.rank == 0 || confirms(part, it->second));
    });
}

void VersionAudit::readmit_current(Seconds now, Seconds fresh_since, std::size_t order) {
    const Seconds turn = static_cast<double>(order) * settings_.grace / kReadmitTurnsPerGrace;
    for (auto& [name, peer] : peers_.all()) {
        if (!peer.reachable() || peer.last_heard < fresh_since || now < peer.last_heard + turn) {
            continue;
        }
        if (peer.excluded_by_ruling && !peers_.behind_required(peer) && proven_current(peer)) {
            peer.excluded_by_ruling = false;
            host_->gossip_exclusion(name, peer.incarnation, false);
        }
    }
}

// If half of the cluster lags, excluding that half would leave too few members to carry the load.
// Members that are gone count towards the limit as well, so that at most the larger part of a
// partition can exclude members.
void VersionAudit::exclude_lagging(Seconds now, Seconds fresh_since, std::size_t order) {
    const Seconds turn = static_cast<double>(order) * settings_.exclude_after;
    std::vector<std::pair<Seconds, Name>> lagging;  // (behind since, name)
    for (const auto& [name, peer] : peers_.all()) {
        if (peer.reachable() && peer.last_heard >= fresh_since && !peer.excluded_by_ruling &&
            peer.behind_since >= 0 &&
            now > peer.behind_since + settings_.grace + settings_.exclude_after + turn) {
            lagging.emplace_back(peer.behind_since, name);
        }
    }
    readmit_current(now, fresh_since, order);
    std::sort(lagging.begin(), lagging.end());
    const std::size_t limit = peers_.max_excluded(settings_.max_excluded_share);
    std::size_t excluded_count = peers_.count_gone() + excluded_members().size();
    for (const auto& [since, name] : lagging) {
        if (excluded_count + 1 > limit) {
            if (!std::exchange(limit_alarm_raised_, true)) {
                host_->raise_audit_alarm(
                    "exclusion limit reached: lagging=" + std::to_string(lagging.size()) +
                    " most_excluded=" + std::to_string(limit));
            }
            return;
        }
        ++excluded_count;
        exclude_member(now, name, since);
    }
    if (lagging.empty()) {
        limit_alarm_raised_ = false;
    }
}

void VersionAudit::exclude_member(Seconds now, const Name& name, Seconds behind_since) {
    PeerVersion& peer = peers_.all().at(name);
    peer.excluded_by_ruling = true;
    host_->gossip_exclusion(name, peer.incarnation, true);
    host_->raise_audit_alarm("member excluded: name=" + name.value +
                             " behind_s=" + std::to_string(static_cast<int>(now - behind_since)));
}

// --- Trial participation of this member
void VersionAudit::on_own_exclusion(Seconds now, bool excluded) {
    excluded_by_ruling_ = excluded;
    if (!excluded) {
        refusals_.clear();
    }
    review_participation(now);
}

void VersionAudit::on_refusal(Seconds now, const Name& by) {
    refusals_[by] = now;
    review_participation(now);
}

bool VersionAudit::is_self_overdue(Seconds now, VersionPart part) const {
    const auto it = self_behind_since_.find(part);
    return it != self_behind_since_.end() && now >= it->second + settings_.grace;
}

// The cluster can only restrict the participation of a member. A member takes part in no trial
// beyond the first stage if it hears too few members or its endpoint list is overdue. It takes part
// in no trial at all if its release status is overdue, or if it is excluded and cannot refute that.
TrialParticipation VersionAudit::decide_participation(Seconds now) const {
    const Quorum quorum = peers_.quorum(now - settings_.uncertain_after, rank(VersionPart::list),
                                        rank(VersionPart::release));
    const auto needed = std::min(static_cast<std::size_t>(settings_.witnesses), quorum.members);
    const bool hears_too_few = now > start_ + settings_.uncertain_after && quorum.heard < needed;
    const auto refusals = std::count_if(refusals_.begin(), refusals_.end(), [&](const auto& each) {
        return each.second > now - settings_.uncertain_after;
    });
    // A faulty member may rule that all others are excluded. A member refutes the ruling if it
    // hears enough members that have nothing newer; it cannot if it hears too few.
    const bool refutes_exclusion = !self_behind() && quorum.agreeing >= needed;
    const bool is_shut_out =
        (excluded_by_ruling_ && !refutes_exclusion) || refusals >= settings_.witnesses;
    if (is_shut_out || is_self_overdue(now, VersionPart::release)) {
        return TrialParticipation::no_trial;
    }
    if (hears_too_few || is_self_overdue(now, VersionPart::list)) {
        return TrialParticipation::first_stage;
    }
    return TrialParticipation::open;
}

void VersionAudit::review_participation(Seconds now) {
    const TrialParticipation wanted = decide_participation(now);
    if (wanted == trial_participation_) {
        return;
    }
    trial_participation_ = wanted;
    host_->trial_participation(wanted);
}

void VersionAudit::tick(Seconds now) {
    now_ = now;
    request_transfers(now);
    review_participation(now);
    review_peers(now);
}

}  // namespace tideline::audit
