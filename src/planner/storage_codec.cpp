#include "planner/storage_codec.hpp"

#include <algorithm>

namespace tideline::planner {
namespace {

using lease::FencingToken;
using lease::HoldingEnd;
using lease::LeaseName;
using lease::Member;
using raft::ServerId;
using raft::Term;
using raft::Voter;

// A value that the enum does not have, as a newer version may send it, becomes the last enumerator.
template <class Kind>
Kind clamp_enum(std::uint32_t value, Kind last) {
    return static_cast<Kind>(std::min(value, static_cast<std::uint32_t>(last)));
}
void encode(const Member& member, wire::Member& to) {
    to.set_name(member.name.value);
    to.set_life(member.incarnation.value);
}
Member decode_member(const wire::Member& from) {
    return {lease::Name{from.name()}, lease::Incarnation{from.life()}};
}
void encode(const lease::Holding& holding, wire::HoldingState& to) {
    to.set_fence(holding.token.value);
    to.set_from(holding.started_at);
    to.set_to(holding.ended_at);
    to.set_end(static_cast<std::uint32_t>(holding.end));
    encode(holding.holder, *to.mutable_holder());
}
lease::Holding decode_holding(const wire::HoldingState& from) {
    return {FencingToken{from.fence()}, decode_member(from.holder()), from.from(), from.to(),
            clamp_enum(from.end(), HoldingEnd::revoked)};
}
template <class To>
void encode_leases(const lease::LeaseStateMachine& leases, To& to) {
    for (const auto& [name, lease] : leases.leases()) {
        wire::LeaseState& into = *to.add_leases();
        into.set_name(name.value);
        into.set_withdrawn(lease.withdrawn);
        encode(lease.now, *into.mutable_now());
        for (const Member& each : lease.waiting) {
            encode(each, *into.add_waiting());
        }
        for (const auto& each : lease.past) {
            encode(each, *into.add_past());
        }
    }
    for (const auto& [name, all] : leases.raised_alarms()) {
        for (const auto& [key, each] : all) {
            wire::RaisedState& into = *to.add_raised();
            into.set_lease(name.value);
            into.set_key(key);
            into.set_fence(each.token.value);
            into.set_since(each.since);
            into.set_text(each.text);
        }
    }
}

}  // namespace

void encode(const VoterSet& voters, google::protobuf::RepeatedPtrField<wire::Seat>& to) {
    for (const auto& [server, voter] : voters) {
        wire::Seat& into = *to.Add();
        into.set_peer(server.value);
        into.set_name(voter.name.value);
        into.set_address(voter.address);
        into.set_votes(voter.votes);
    }
}
VoterSet decode_voters(const google::protobuf::RepeatedPtrField<wire::Seat>& from) {
    VoterSet voters;
    for (const wire::Seat& seat : from) {
        voters[ServerId{seat.peer()}] = {cluster::Name{seat.name()}, seat.address(), seat.votes()};
    }
    return voters;
}
void encode(const LogEntry& entry, wire::LogRecord& to) {
    to.set_reign(entry.term.value);
    to.set_kind(static_cast<std::uint32_t>(entry.kind));
    to.set_body(entry.command);
    encode(entry.voters, *to.mutable_council());
}
LogEntry decode_entry(const wire::LogRecord& from) {
    return {Term{from.reign()}, clamp_enum(from.kind(), raft::EntryKind::voters), from.body(),
            decode_voters(from.council())};
}
void encode(const Snapshot& snapshot, wire::Snapshot& to) {
    to.set_last(snapshot.last_included_index.value);
    to.set_reign(snapshot.last_included_term.value);
    to.set_state(snapshot.state);
    encode(snapshot.voters, *to.mutable_council());
}
Snapshot decode_snapshot(const wire::Snapshot& from) {
    return {{from.last()}, {from.reign()}, decode_voters(from.council()), from.state()};
}

void encode(const lease::LeaseStateMachine& leases, wire::PlannerTable& to) {
    encode_leases(leases, to);
}
std::string encode_state(const lease::LeaseStateMachine& leases,
                         const raft::VoterMembership& voter_membership) {
    wire::PlannerState state;
    encode_leases(leases, state);
    encode(voter_membership.target_voters(), *state.mutable_admitted());
    for (const auto& name : voter_membership.known_names()) {
        state.add_known(name.value);
    }
    for (const auto& [name, each] : leases.documents()) {
        wire::WrittenState& into = *state.add_written();
        into.set_lease(name.value);
        into.set_number(each.number);
        into.set_bytes(each.bytes);
    }
    return state.SerializeAsString();
}
bool restore(const std::string& bytes, lease::LeaseStateMachine& leases,
             raft::VoterMembership& voter_membership) {
    wire::PlannerState state;
    if (!state.ParseFromString(bytes)) {
        return false;
    }
    std::map<LeaseName, lease::Lease> all;
    for (const wire::LeaseState& from : state.leases()) {
        lease::Lease& lease = all[LeaseName{from.name()}];
        lease.now = decode_holding(from.now());
        lease.withdrawn = from.withdrawn();
        for (const auto& each : from.waiting()) {
            lease.waiting.push_back(decode_member(each));
        }
        for (const auto& each : from.past()) {
            lease.past.push_back(decode_holding(each));
        }
    }
    lease::LeaseStateMachine::RaisedAlarms raised;
    for (const wire::RaisedState& from : state.raised()) {
        raised[LeaseName{from.lease()}][from.key()] = {FencingToken{from.fence()}, from.since(),
                                                       from.text()};
    }
    lease::LeaseStateMachine::LeaseDocuments written;
    for (const wire::WrittenState& from : state.written()) {
        written[LeaseName{from.lease()}] = {from.number(), from.bytes()};
    }
    leases.restore(std::move(all), std::move(raised), std::move(written));
    std::set<cluster::Name> known;
    for (const auto& name : state.known()) {
        known.insert(cluster::Name{name});
    }
    voter_membership.restore(decode_voters(state.admitted()), std::move(known));
    return true;
}

CommandResult apply_command(const std::string& bytes, raft::LogIndex at,
                            lease::LeaseStateMachine& leases,
                            raft::VoterMembership& voter_membership) {
    wire::Command command;
    CommandResult result;
    if (!command.ParseFromString(bytes)) {
        return result;
    }
    result.lease = LeaseName{command.lease()};
    result.member = decode_member(command.member());
    const FencingToken token{command.fence()};
    const FencingToken own{at.value};
    std::vector<Member> absent;
    for (const auto& member : command.absent()) {
        absent.push_back(decode_member(member));
    }
    switch (command.what()) {
        case wire::Command::TAKE:
            result.is_acquire = true;
            leases.acquire(own, command.unix_time(), result.lease, result.member);
            break;
        case wire::Command::END:
            leases.end_holding(own, command.unix_time(), result.lease, token,
                               clamp_enum(command.end(), HoldingEnd::revoked), absent);
            break;
        case wire::Command::TAKE_AWAY:
            leases.revoke(result.lease, token);
            break;
        case wire::Command::STOP_WAITING:
            leases.stop_waiting(result.lease, result.member);
            break;
        case wire::Command::RAISE:
            result.change = leases.raise_alarm(command.unix_time(), result.lease, token,
                                               command.key(), command.text());
            break;
        case wire::Command::CLEAR:
            result.change = leases.clear_alarm(result.lease, token, command.key());
            break;
        case wire::Command::WRITE:
            result.change =
                leases.write_document(result.lease, token, command.number(), command.text());
            result.document_written = result.change == lease::ChangeResult::done;
            break;
        case wire::Command::ADMIT:
            voter_membership.admit(cluster::Name{command.seat().name()},
                                   ServerId{command.seat().peer()}, command.seat().address());
            break;
        case wire::Command::REMOVE:
            voter_membership.remove(cluster::Name{command.seat().name()});
            break;
        default:
            break;
    }
    return result;
}

}  // namespace tideline::planner
