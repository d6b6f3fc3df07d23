#include "raft/voter_membership.hpp"

namespace tideline::raft {

void VoterMembership::admit(const Name& name, ServerId server, const std::string& address) {
    std::erase_if(admitted_,
                  [&](auto& each) { return each.second.name == name && each.first != server; });
    admitted_[server] = {name, address, true};
    known_.insert(name);
}
void VoterMembership::remove(const Name& name) {
    // The last planner is never removed: without a planner no lease could be granted again.
    if (admitted_.size() <= 1) {
        return;
    }
    std::erase_if(admitted_, [&](auto& each) { return each.second.name == name; });
}
void VoterMembership::restore(VoterSet admitted, std::set<Name> known) {
    admitted_ = std::move(admitted);
    known_ = std::move(known);
}

std::optional<VoterSet> VoterMembership::next_voter_set(
    const VoterSet& current, const std::function<bool(ServerId)>& caught_up) const {
    VoterSet next = current;
    for (const auto& [server, voter] : admitted_) {
        if (current.contains(server)) {
            continue;
        }
        next[server] = {voter.name, voter.address, false};
        return next;
    }
    std::optional<ServerId> ready;
    for (const auto& [server, voter] : admitted_) {
        if (!current.at(server).votes && caught_up(server) && !ready) {
            ready = server;
        }
    }
    // Invariant: the servers of a planner's former and present disk never vote at the same time. A
    // server whose disk is lost still counts towards the size of a majority. It is removed before
    // its successor gets a vote, but only once the successor has caught up.
    for (const auto& [server, voter] : current) {
        if (admitted_.contains(server)) {
            continue;
        }
        bool has_successor = false;
        bool successor_ready = false;
        for (const auto& [other, admitted] : admitted_) {
            if (admitted.name == voter.name) {
                has_successor = true;
                successor_ready = ready == other;
            }
        }
        if (has_successor && !successor_ready) {
            continue;
        }
        next.erase(server);
        return next;
    }
    if (!ready) {
        return std::nullopt;
    }
    next[*ready].votes = true;
    return next;
}

}  // namespace tideline::raft
