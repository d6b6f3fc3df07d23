// Converts the types of the log and of leases to their protobuf form on the wire and on the disk,
// and back. Also applies a command to the replicated state.
#pragma once

#include "lease/lease_state_machine.hpp"
#include "planner.pb.h"
#include "raft/voter_membership.hpp"

namespace tideline::planner {

using raft::LogEntry;
using raft::Snapshot;
using raft::VoterSet;

void put(const VoterSet& voters, google::protobuf::RepeatedPtrField<wire::Seat>& to);
VoterSet voters_from(const google::protobuf::RepeatedPtrField<wire::Seat>& from);
void put(const LogEntry& entry, wire::LogRecord& to);
LogEntry entry_from(const wire::LogRecord& from);
void put(const Snapshot& snapshot, wire::Snapshot& to);
Snapshot snapshot_from(const wire::Snapshot& from);

void put(const lease::LeaseStateMachine& leases, wire::PlannerTable& to);
// Serialize the replicated state for a snapshot, and restore it. restore returns false and changes
// nothing if the bytes can't be parsed.
std::string state_of(const lease::LeaseStateMachine& leases,
                     const raft::VoterMembership& voter_membership);
bool restore(const std::string& state, lease::LeaseStateMachine& leases,
             raft::VoterMembership& voter_membership);
// The effect of applying a command.
struct Effect {
    lease::LeaseName lease;  // empty if the command was not for a lease
    bool take = false;       // the command was to acquire the lease
    lease::Member member;
    // The result of a command for an alarm or a document.
    lease::ChangeResult change = lease::ChangeResult::done;
    bool wrote = false;  // the command replaced the document of the lease
};
// Applies the serialized command of the entry at index `at`.
Effect apply(const std::string& bytes, raft::LogIndex at, lease::LeaseStateMachine& leases,
             raft::VoterMembership& voter_membership);

}  // namespace tideline::planner
