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
Kind within(std::uint32_t value, Kind most) {
    return static_cast<Kind>(std::min(value, static_cast<std::uint32_t>(most)));
}
void put(const Member& member, wire::Member& to) {
    to.set_name(member.name.value);
    to.set_life(member.incarnation.value);
}
Member member_from(const wire::Member& from) {
    return {lease::Name{from.name()}, lease::Incarnation{from.life()}};
}
void put(const lease::Holding& holding, wire::HoldingState& to) {
    to.set_fence(holding.token.value);
    to.set_from(holding.from);
    to.set_to(holding.to);
    to.set_end(static_cast<std::uint32_t>(holding.end));
    put(holding.holder, *to.mutable_holder());
}
lease::Holding holding_from(const wire::HoldingState& from) {
    return {FencingToken{from.fence()}, member_from(from.holder()), from.from(), from.to(),
            within(from.end(), HoldingEnd::revoked)};
}
template <class To>
void put_leases(const lease::LeaseStateMachine& leases, To& to) {
    for (const auto& [name, lease] : leases.leases()) {
        wire::LeaseState& into = *to.add_leases();
        into.set_name(name.value);
        into.set_withdrawn(lease.withdrawn);
        put(lease.now, *into.mutable_now());
        for (const Member& each : lease.waiting) {
            put(each, *into.add_waiting());
        }
        for (const auto& each : lease.past) {
            put(each, *into.add_past());
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

void put(const VoterSet& voters, google::protobuf::RepeatedPtrField<wire::Seat>& to) {
    for (const auto& [server, voter] : voters) {
        wire::Seat& into = *to.Add();
        into.set_peer(server.value);
        into.set_name(voter.name.value);
        into.set_address(voter.address);
        into.set_votes(voter.votes);
    }
}
VoterSet voters_from(const google::protobuf::RepeatedPtrField<wire::Seat>& from) {
    VoterSet voters;
    for (const wire::Seat& seat : from) {
        voters[ServerId{seat.peer()}] = {cluster::Name{seat.name()}, seat.address(), seat.votes()};
    }
    return voters;
}
void put(const LogEntry& entry, wire::LogRecord& to) {
    to.set_reign(entry.term.value);
    to.set_kind(static_cast<std::uint32_t>(entry.kind));
    to.set_body(entry.command);
    put(entry.voters, *to.mutable_council());
}
LogEntry entry_from(const wire::LogRecord& from) {
    return {Term{from.reign()}, within(from.kind(), raft::EntryKind::voters), from.body(),
            voters_from(from.council())};
}
void put(const Snapshot& snapshot, wire::Snapshot& to) {
    to.set_last(snapshot.last_included_index.value);
    to.set_reign(snapshot.last_included_term.value);
    to.set_state(snapshot.state);
    put(snapshot.voters, *to.mutable_council());
}
Snapshot snapshot_from(const wire::Snapshot& from) {
    return {{from.last()}, {from.reign()}, voters_from(from.council()), from.state()};
}

void put(const lease::LeaseStateMachine& leases, wire::PlannerTable& to) {
    put_leases(leases, to);
}
std::string state_of(const lease::LeaseStateMachine& leases,
                     const raft::VoterMembership& voter_membership) {
    wire::PlannerState state;
    put_leases(leases, state);
    put(voter_membership.wanted(), *state.mutable_admitted());
    for (const auto& name : voter_membership.names()) {
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
        lease.now = holding_from(from.now());
        lease.withdrawn = from.withdrawn();
        for (const auto& each : from.waiting()) {
            lease.waiting.push_back(member_from(each));
        }
        for (const auto& each : from.past()) {
            lease.past.push_back(holding_from(each));
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
    voter_membership.restore(voters_from(state.admitted()), std::move(known));
    return true;
}

Effect apply(const std::string& bytes, raft::LogIndex at, lease::LeaseStateMachine& leases,
             raft::VoterMembership& voter_membership) {
    wire::Command command;
    Effect effect;
    if (!command.ParseFromString(bytes)) {
        return effect;
    }
    effect.lease = LeaseName{command.lease()};
    effect.member = member_from(command.member());
    const FencingToken token{command.fence()};
    const FencingToken own{at.value};
    std::vector<Member> absent;
    for (const auto& member : command.absent()) {
        absent.push_back(member_from(member));
    }
    switch (command.what()) {
        case wire::Command::TAKE:
            effect.take = true;
            leases.acquire(own, command.unix_time(), effect.lease, effect.member);
            break;
        case wire::Command::END:
            leases.expire(own, command.unix_time(), effect.lease, token,
                          within(command.end(), HoldingEnd::revoked), absent);
            break;
        case wire::Command::TAKE_AWAY:
            leases.revoke(effect.lease, token);
            break;
        case wire::Command::STOP_WAITING:
            leases.stop_waiting(effect.lease, effect.member);
            break;
        case wire::Command::RAISE:
            effect.change = leases.raise(command.unix_time(), effect.lease, token, command.key(),
                                         command.text());
            break;
        case wire::Command::CLEAR:
            effect.change = leases.clear(effect.lease, token, command.key());
            break;
        case wire::Command::WRITE:
            effect.change =
                leases.write_document(effect.lease, token, command.number(), command.text());
            effect.wrote = effect.change == lease::ChangeResult::done;
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
    return effect;
}

}  // namespace tideline::planner
