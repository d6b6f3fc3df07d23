// Membership changes of one voter at a time (section 4.1 of the dissertation).
#include <cstddef>

#include "raft/quorum.hpp"
#include "raft/raft.hpp"

namespace tideline::raft {
namespace {

// Counts the servers that have a vote in one set but not in the other.
std::size_t count_changed_votes(const VoterSet& before, const VoterSet& after) {
    VoterSet all = before;
    all.insert(after.begin(), after.end());
    std::size_t changed = 0;
    for (const auto& [server, voter] : all) {
        if (votes_in(before, server) != votes_in(after, server)) {
            ++changed;
        }
    }
    return changed;
}

}  // namespace

bool Raft::change_voters(const VoterSet& wanted) {
    // Invariant: there is at most one uncommitted change, and it starts only after an entry of this
    // term is committed. Otherwise two majorities could have no voter in common.
    if (!is_ready_leader() || log_.changes_voters_after(commit_index_)) {
        return false;
    }
    if (count_changed_votes(voters(), wanted) > 1 || count_voters(wanted) == 0 ||
        wanted == voters()) {
        return false;
    }
    append({vote_state_.term, EntryKind::voters, {}, wanted});
    broadcast_append_entries();
    persist_changes();
    advance_commit_index();
    check_invariants();
    return true;
}

}  // namespace tideline::raft
