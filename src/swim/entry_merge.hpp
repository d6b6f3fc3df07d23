// What gossip about a member changes of what is known of it, by incarnation and refutation count.
#pragma once

#include <optional>

#include "cluster/types.hpp"

namespace tideline::swim {

enum class MergeDecision {
    ignored,                  // nothing new
    accused_by_named_member,  // the accuser that the gossip names suspects the member
    accused_by_gossiper,  // whoever sent the gossip takes the member for gone; here it is present
    replaced,             // the gossip is newer in all
};

// `gossip_entry` has the same name as `known`.
MergeDecision decide_merge(const cluster::Entry& known, const cluster::Entry& gossip_entry);
// Both are of the same incarnation. True where `known` has changed.
bool merge_version(cluster::Entry& known, const cluster::Version& gossip_version);
bool merge_ruling(cluster::Entry& known, const cluster::Entry& gossip_entry);
// The entry that a member sent of itself, as it is to be put; none where `known` stays. `known`:
// nullptr where the member is new. Only its version changes here.
std::optional<cluster::Entry> merge_sender(cluster::Entry* known, const cluster::Entry& sender);
// What gossip about this member itself changes of its own entry.
enum class SelfMerge {
    unchanged,
    refuted,       // it was taken for failed: its refutation count is higher now
    name_claimed,  // a later incarnation was told of; this one is later than that now
};
SelfMerge merge_self(cluster::Entry& self, const cluster::Entry& gossip_entry);
// `gossip_entry` as it takes the place of `known`: of the same incarnation it keeps the version and
// the later ruling. A suspected member comes as present: its suspicion is started apart.
cluster::Entry replacement_of(const cluster::Entry& known, const cluster::Entry& gossip_entry);

}  // namespace tideline::swim
