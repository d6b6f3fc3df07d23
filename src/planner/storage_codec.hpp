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

void encode(const VoterSet& voters, google::protobuf::RepeatedPtrField<wire::Seat>& to);
VoterSet decode_voters(const google::protobuf::RepeatedPtrField<wire::Seat>& from);
void encode(const LogEntry& entry, wire::LogRecord& to);
LogEntry decode_entry(const wire::LogRecord& from);
void encode(const Snapshot& snapshot, wire::Snapshot& to);
Snapshot decode_snapshot(const wire::Snapshot& from);

void encode(const lease::LeaseStateMachine& leases, wire::PlannerTable& to);
// Serialize the replicated state for a snapshot, and restore it. restore returns false and changes
// nothing if the bytes can't be parsed.
std::string encode_state(const lease::LeaseStateMachine& leases,
                         const raft::VoterMembership& voter_membership);
bool restore(const std::string& state, lease::LeaseStateMachine& leases,
             raft::VoterMembership& voter_membership);
// The result of applying a command.
struct CommandResult {
    lease::LeaseName lease;   // empty if the command was not for a lease
    bool is_acquire = false;  // the command was to acquire the lease
    lease::Member member;
    // The result of a command for an alarm or a document.
    lease::ChangeResult change = lease::ChangeResult::done;
    bool document_written = false;  // the command replaced the document of the lease
};
// Applies the serialized command of the entry at index `at`.
CommandResult apply_command(const std::string& bytes, raft::LogIndex at,
                            lease::LeaseStateMachine& leases,
                            raft::VoterMembership& voter_membership);

}  // namespace tideline::planner
