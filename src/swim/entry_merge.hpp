// Merges gossip about a member into the known entry, by incarnation and refutation count.
#pragma once

#include <optional>

#include "cluster/types.hpp"

namespace tideline::swim {

enum class MergeDecision {
    ignored,                  // the gossip contains nothing new
    accused_by_named_member,  // the accuser named by the gossip suspects the member
    accused_by_gossiper,  // the sender of the gossip considers the member gone; it is present here
    replaced,             // the gossiped entry is newer and replaces the known one
};

// Both entries must be of the same member.
MergeDecision decide_merge(const cluster::Entry& known, const cluster::Entry& gossip_entry);
// Both arguments must be of the same incarnation. Return whether `known` has changed.
bool merge_version(cluster::Entry& known, const cluster::Version& gossip_version);
bool merge_ruling(cluster::Entry& known, const cluster::Entry& gossip_entry);
// Returns the entry to store for a member that has sent its own entry, or std::nullopt to keep
// `known`, of which at most the version is changed. `known` is nullptr if the member is new.
std::optional<cluster::Entry> merge_sender(cluster::Entry* known, const cluster::Entry& sender);
// The effect of gossip about this member on its own entry.
enum class SelfMerge {
    unchanged,
    refuted,  // it was suspected or declared gone; its refutation count was raised
    // The gossip names a later incarnation; the own one was raised above it.
    name_claimed,
};
SelfMerge merge_self(cluster::Entry& self, const cluster::Entry& gossip_entry);
// Returns `gossip_entry` in the form in which it replaces `known`. Within an incarnation the known
// version and the later ruling are kept. A suspected member is returned as present, because its
// suspicion is started separately.
cluster::Entry replacement_of(const cluster::Entry& known, const cluster::Entry& gossip_entry);

}  // namespace tideline::swim
