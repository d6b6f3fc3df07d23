#include "cluster/membership.hpp"

#include <algorithm>

#include "swim/entry_merge.hpp"

namespace tideline::cluster {
namespace {

// Steps added to the local health score after a stall of more than a period.
constexpr int kStallHealthPenalty = 2;
// Fraction of the answer time-out that a helper waits, so that its report of a missing answer
// arrives in time.
constexpr double kIndirectTimeoutFactor = 0.8;
// Complete tables are sent to the same member at this interval or a longer one.
constexpr double kMinTableIntervalInPeriods = 1;
// Claims of this member's name by another process, after which two processes with that name are the
// likely cause.
constexpr int kNameClaimsBeforeAlarm = 3;
// Requests for a table are sent at random intervals: from this fraction of the configured interval
// to that plus 1.
constexpr double kMinRejoinFactor = 0.5;

}  // namespace

Membership::Membership(MembershipHost& host, const MembershipSettings& settings, Entry self,
                       std::vector<std::string> seeds, std::uint64_t seed, Seconds now)
    : host_(&host),
      settings_(settings),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed),
      next_period_(now),
      next_regain_(now),
      due_(now) {
    self_.state = MemberState::present;
    // Members that start together would otherwise send their pings at the same time for ever.
    next_period_ += settings_.period * random_.draw();
    dissemination_.add(self_.name);
}

std::optional<Entry> Membership::find(const Name& name) const {
    if (name == self_.name) {
        return self_;
    }
    const Entry* entry = table_.find(name);
    return entry ? std::optional(*entry) : std::nullopt;
}

// --- Gossip
void Membership::merge_sender_entry(Seconds now, const Entry& sender) {
    if (sender.name == self_.name) {
        return merge_self(sender);
    }
    if (const auto entry = swim::merge_sender(table_.find(sender.name), sender)) {
        store_entry(now, *entry);
    }
}

void Membership::merge_gossip(Seconds now, const Gossip& gossip, const Name& gossiper) {
    for (const Entry& entry : gossip) {
        merge(now, entry, gossiper, false);
    }
}

void Membership::merge_self(const Entry& gossip_entry) {
    if (gossip_entry.incarnation == self_.incarnation && swim::merge_ruling(self_, gossip_entry)) {
        host_->on_member_changed(self_, self_.state, false);
        dissemination_.add(self_.name);
    }
    if (left_) {
        return;
    }
    switch (swim::merge_self(self_, gossip_entry)) {
        case swim::SelfMerge::unchanged:
            return;
        case swim::SelfMerge::refuted:
            detector_.degrade_health(1);  // a suspicion is a sign that this member may be slow
            break;
        case swim::SelfMerge::name_claimed:
            if (++name_claims_ == kNameClaimsBeforeAlarm) {
                host_->raise_membership_alarm(
                    "member name claimed by another process: name=" + self_.name.value +
                    " address=" + gossip_entry.address);
            }
            break;
    }
    dissemination_.add(self_.name);
}

void Membership::merge(Seconds now, const Entry& gossip_entry, const Name& gossiper,
                       bool from_table) {
    if (gossip_entry.name == self_.name) {
        return merge_self(gossip_entry);
    }
    Entry* known = table_.find(gossip_entry.name);
    if (!known) {
        return merge_new(now, gossip_entry, from_table);
    }
    if (gossip_entry.incarnation == known->incarnation) {
        if (swim::merge_version(*known, gossip_entry.version)) {
            host_->on_member_changed(*known, known->state, false);
        }
        if (swim::merge_ruling(*known, gossip_entry)) {
            host_->on_member_changed(*known, known->state, false);
            dissemination_.add(known->name);
        }
    }
    switch (swim::decide_merge(*known, gossip_entry)) {
        case swim::MergeDecision::ignored:
            return;
        case swim::MergeDecision::accused_by_named_member:
            return accuse(now, gossip_entry.name, gossip_entry.suspected_by);
        case swim::MergeDecision::accused_by_gossiper:
            return accuse(now, gossip_entry.name, gossiper);
        case swim::MergeDecision::replaced:
            break;
    }
    store_entry(now, swim::replacement_of(*known, gossip_entry));
    if (gossip_entry.state == MemberState::suspected) {
        accuse(now, gossip_entry.name, gossip_entry.suspected_by);
    }
}

// Entries of a complete table are not queued as changes, because they would delay recent changes.
void Membership::merge_new(Seconds now, const Entry& gossip_entry, bool from_table) {
    store_entry(now, gossip_entry, !from_table);
    if (gossip_entry.state == MemberState::suspected) {
        accuse(now, gossip_entry.name, gossip_entry.suspected_by);
    }
}

void Membership::store_entry(Seconds now, const Entry& entry, bool gossiped) {
    const swim::MemberTable::Change change = table_.put(now, entry);
    if (change.joined) {
        detector_.add_target(entry.name, random_);
    }
    if (entry.state != MemberState::suspected) {
        suspicions_.remove(entry.name);
    }
    if (!change.changed) {
        return;
    }
    if (gossiped) {
        dissemination_.add(entry.name);
    }
    host_->on_member_changed(entry, change.before, change.new_incarnation);
}

// --- Suspicion
void Membership::accuse(Seconds now, const Name& name, const Name& accuser) {
    Entry& known = *table_.find(name);
    if (!is_reachable(known)) {
        return;
    }
    if (known.state == MemberState::present) {
        suspicions_.start_suspicion(now, name, accuser);
        Entry accused = known;
        accused.state = MemberState::suspected;
        accused.suspected_by = accuser;
        store_entry(now, accused);
    } else if (suspicions_.add_accuser(name, accuser)) {
        known.suspected_by = accuser;
        dissemination_.add(name);
    }
}

void Membership::declare_gone(Seconds now) {
    for (const Name& name : suspicions_.expired(now, table_.cluster_size(), settings_.period)) {
        Entry entry = *table_.find(name);
        entry.state = MemberState::gone;
        store_entry(now, entry);
    }
}

// --- Pings
void Membership::start_probe(Seconds now) {
    if (left_) {
        return;
    }
    const auto probe = detector_.start_probe(now, settings_.answer_wait, table_, random_);
    if (probe) {
        host_->ping(probe->target, probe->id, gossip_for(probe->target));
    }
}

void Membership::probe_indirectly() {
    const std::vector<Name> helpers = detector_.choose_helpers(table_, random_);
    const swim::Probe probe = *detector_.probe();
    for (const Name& helper : helpers) {
        host_->request_indirect_ping(helper, probe.id, probe.target, gossip_for(helper));
    }
}

void Membership::conclude_probe(Seconds now) {
    const auto silent = detector_.conclude_probe();
    if (!silent) {
        return;
    }
    const Entry* target = table_.find(*silent);
    if (target && is_reachable(*target)) {
        accuse(now, *silent, self_.name);
    }
}

void Membership::ping_received(Seconds now, const Entry& from, PingId ping_id,
                               const Gossip& gossip) {
    merge_sender_entry(now, from);
    merge_gossip(now, gossip, from.name);
    if (!left_) {
        host_->acknowledge(from.name, ping_id, gossip_for(from.name));
    }
    update_due();
}

void Membership::indirect_ping_requested(Seconds now, const Entry& from, PingId ping_id,
                                         const Name& target, const Gossip& gossip) {
    merge_sender_entry(now, from);
    merge_gossip(now, gossip, from.name);
    if (left_ || target == self_.name || !table_.find(target)) {
        return host_->report_no_answer(from.name, ping_id);
    }
    const PingId own = detector_.new_ping_id();
    indirect_pings_.add(own,
                        {from.name, ping_id, now + kIndirectTimeoutFactor * settings_.answer_wait});
    host_->ping(target, own, gossip_for(target));
    update_due();
}

void Membership::answered(Seconds now, const Entry& from, PingId ping_id, const Gossip& gossip) {
    merge_sender_entry(now, from);
    merge_gossip(now, gossip, from.name);
    detector_.on_answer(ping_id);
    if (const auto ping = indirect_pings_.take(ping_id)) {
        host_->acknowledge(ping->requester, ping->requested_id, gossip_for(ping->requester));
    }
    update_due();
}

void Membership::unreachable(Seconds now, const Name& name) {
    if (detector_.on_connection_failed(now, name)) {
        due_ = std::min(due_, now);
    }
}

// --- Tables: joining, and reconnecting after a partition
void Membership::send_table(Seconds now, const Name& to, bool wants_reply) {
    const auto parts = table_exchange_.parts_for(
        now, to, kMinTableIntervalInPeriods * settings_.period, self_, table_, gossip_cutoff(now));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const bool last = i + 1 == parts.size();
        host_->send_table(to, parts[i], last && wants_reply);
    }
}

void Membership::table_requested(Seconds now, const Entry& from) {
    merge_sender_entry(now, from);
    if (!left_) {
        send_table(now, from.name, true);
    }
    update_due();
}

void Membership::table_received(Seconds now, const Entry& from, const Gossip& part,
                                bool wants_reply) {
    merge_sender_entry(now, from);
    for (const Entry& entry : part) {
        merge(now, entry, from.name, true);
    }
    if (wants_reply && !left_) {
        send_table(now, from.name, false);
    }
    update_due();
}

// After a partition, each side considers the other one gone and no longer pings it. One member that
// is gone, or one seed that was never met, is therefore asked for its table periodically.
void Membership::request_table() {
    const std::vector<std::string> addresses =
        swim::addresses_to_rejoin(self_.address, seeds_, table_);
    if (!addresses.empty() && !left_) {
        host_->request_table(addresses[random_.draw_below(addresses.size())]);
    }
}

void Membership::forget_old(Seconds now) {
    for (const Name& name : table_.forget(now, settings_.remember)) {
        table_exchange_.forget(name);
        dissemination_.remove(name);
    }
}

// --- Rulings, and leaving the cluster
void Membership::rule_on_exclusion(Seconds now, const Name& name, const Incarnation& incarnation,
                                   bool excluded) {
    const Entry* known = table_.find(name);
    if (!known || known->incarnation != incarnation || known->excluded == excluded) {
        return;
    }
    Entry entry = *known;
    entry.excluded = excluded;
    ++entry.ruling_number;
    store_entry(now, entry);
}

void Membership::leave(Seconds) {
    if (left_) {
        return;
    }
    left_ = true;
    self_.state = MemberState::left;
    dissemination_.add(self_.name);
    for (const Name& name : detector_.draw_present(self_.name, table_, random_)) {
        host_->ping(name, detector_.new_ping_id(), gossip_for(name));
    }
}

// --- Deadlines
void Membership::update_due() {
    due_ = std::min(next_period_, next_regain_);
    due_ = std::min(due_, detector_.direct_deadline().value_or(due_));
    due_ = indirect_pings_.next_deadline(due_);
    due_ = suspicions_.next_deadline(due_, table_.cluster_size(), settings_.period);
}

// After a stall, all pings of this member are unanswered and all suspicions have expired, although
// no other member has failed. The stall therefore counts against this member's own health, and
// suspicions are extended by its duration.
void Membership::discount_stall(Seconds late) {
    detector_.degrade_health(kStallHealthPenalty);
    detector_.cancel_probe();
    suspicions_.postpone(late);
}

void Membership::tick(Seconds now) {
    if (const Seconds late = now - due_; late > settings_.period) {
        discount_stall(late);
    }
    for (const swim::IndirectPing& ping : indirect_pings_.take_expired(now)) {
        host_->report_no_answer(ping.requester, ping.requested_id);
    }
    if (const auto deadline = detector_.direct_deadline(); deadline && now >= *deadline) {
        probe_indirectly();
    }
    if (now >= next_period_) {
        conclude_probe(now);
        start_probe(now);
        next_period_ = now + detector_.scaled_by_health(settings_.period);
        forget_old(now);
    }
    declare_gone(now);
    if (now >= next_regain_) {
        request_table();
        next_regain_ = now + settings_.regain_every * (kMinRejoinFactor + random_.draw());
    }
    update_due();
}

}  // namespace tideline::cluster
