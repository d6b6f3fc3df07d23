#include "swim/entry_merge.hpp"

#include <algorithm>

namespace tideline::swim {

using cluster::Entry;
using cluster::Incarnation;
using cluster::MemberState;
using cluster::RefutationCount;
using cluster::Version;

MergeDecision decide_merge(const Entry& known, const Entry& gossip_entry) {
    if (gossip_entry.incarnation != known.incarnation) {
        return gossip_entry.incarnation < known.incarnation ? MergeDecision::ignored
                                                            : MergeDecision::replaced;
    }
    if (gossip_entry.refutation_count != known.refutation_count) {
        return gossip_entry.refutation_count < known.refutation_count ? MergeDecision::ignored
                                                                      : MergeDecision::replaced;
    }
    if (gossip_entry.state == MemberState::suspected && known.state <= MemberState::suspected) {
        return MergeDecision::accused_by_named_member;
    }
    if (gossip_entry.state <= known.state) {
        return MergeDecision::ignored;
    }
    // After a partition, each side considers the other one gone. Gossip that a member is gone is
    // therefore accepted only if it is suspected here as well: otherwise each side would remove
    // live members of the other one.
    if (gossip_entry.state == MemberState::gone && known.state == MemberState::present) {
        return MergeDecision::accused_by_gossiper;
    }
    return MergeDecision::replaced;
}

bool merge_version(Entry& known, const Version& gossip_version) {
    const Version before = known.version;
    known.version.list = std::max(before.list, gossip_version.list);
    known.version.release = std::max(before.release, gossip_version.release);
    return known.version != before;
}

bool merge_ruling(Entry& known, const Entry& gossip_entry) {
    if (gossip_entry.ruling_number <= known.ruling_number) {
        return false;
    }
    known.ruling_number = gossip_entry.ruling_number;
    known.excluded = gossip_entry.excluded;
    return true;
}

// The message shows that the sender is alive, but only its own next refutation revokes what others
// have learned about it.
std::optional<Entry> merge_sender(Entry* known, const Entry& sender) {
    // A delayed message of an earlier incarnation must not change what is known of this one.
    if (known && known->incarnation > sender.incarnation) {
        return std::nullopt;
    }
    Entry entry = sender;
    if (known && known->incarnation == sender.incarnation) {
        merge_ruling(entry, *known);
        const bool refuted_later = known->refutation_count > sender.refutation_count;
        const bool same_refutation = known->refutation_count == sender.refutation_count;
        if (refuted_later || (same_refutation && known->state > sender.state)) {
            known->version = sender.version;
            return std::nullopt;
        }
    }
    if (entry.state == MemberState::suspected || entry.state == MemberState::gone) {
        entry.state = MemberState::present;
    }
    return entry;
}

SelfMerge merge_self(Entry& self, const Entry& gossip_entry) {
    if (gossip_entry.incarnation < self.incarnation) {
        return SelfMerge::unchanged;
    }
    // The later incarnation stems from an earlier start with a clock that was ahead, or from
    // another process with this name.
    if (gossip_entry.incarnation > self.incarnation) {
        self.incarnation = Incarnation{gossip_entry.incarnation.value + 1};
        self.refutation_count = RefutationCount{};
        self.ruling_number = 0;
        self.excluded = false;
        return SelfMerge::name_claimed;
    }
    if (gossip_entry.state != MemberState::present &&
        gossip_entry.refutation_count >= self.refutation_count) {
        self.refutation_count = RefutationCount{gossip_entry.refutation_count.value + 1};
        return SelfMerge::refuted;
    }
    return SelfMerge::unchanged;
}

Entry replacement_of(const Entry& known, const Entry& gossip_entry) {
    Entry entry = gossip_entry;
    if (gossip_entry.incarnation == known.incarnation) {
        entry.version = known.version;
        merge_ruling(entry, known);
    }
    if (entry.state == MemberState::suspected) {
        entry.state = MemberState::present;
    }
    return entry;
}

}  // namespace tideline::swim
