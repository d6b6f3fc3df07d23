#include <algorithm>
#include <limits>
#include <utility>

#include "lease/clock.hpp"
#include "planner/planner.hpp"

namespace tideline::planner {
namespace {

using cluster::LinkId;
using cluster::Name;
using lease::boottime_now;
using lease::FencingToken;
using lease::LeaseName;
using lease::LeaseRequestId;
using lease::Member;

// A subscription that is not renewed for this time expires.
constexpr Seconds kWatchTimeout = 15;
// Bounds the cost of a change, of which every subscriber is notified.
constexpr std::size_t kMaxWatchers = 4096;
// Enough for the members of a large cluster, some of which have two requests open.
constexpr std::size_t kMaxPendingRequests = 20000;
// A planner that has not replied to the leader for this time is shown as silent.
constexpr Seconds kSilentTimeout = 2;

}  // namespace

void Planner::reply(LeaseRequestId id, lease::Answer result, FencingToken token, Seconds span,
                    std::size_t before) {
    wire::LeaseAnswer answer;
    answer.set_what(static_cast<std::uint32_t>(result));
    answer.set_fence(token.value);
    answer.set_span(span);
    answer.set_before(before);
    finish_request(id, answer);
}

void Planner::on_command_committed(LeaseRequestId id, bool changed) {
    wire::LeaseAnswer answer;
    answer.set_done(changed);
    finish_request(id, answer);
}

void Planner::reject(LeaseRequestId id, const std::string& reason) {
    wire::LeaseAnswer answer;
    answer.set_what(static_cast<std::uint32_t>(lease::Answer::refused));
    answer.set_why(reason);
    finish_request(id, answer);
}

void Planner::finish_request(LeaseRequestId id, wire::LeaseAnswer& answer) {
    const auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) {
        return;  // the request timed out
    }
    send_answer(found->second, answer);
    pending_requests_.erase(found);
}

void Planner::send_answer(const PendingRequest& request, wire::LeaseAnswer& answer) {
    answer.set_no(request.id);
    answer.set_cluster(cluster_.value);
    wire::Word message = new_message();
    *message.mutable_lease_answer() = answer;
    peer_connections_.reply(request.link, message);
}

void Planner::notify_turn(const Member& member, const LeaseName& lease, FencingToken token) {
    const MemberRoute* const route = directory_.route_to(member);
    if (!route) {
        return;
    }
    wire::Word message = new_message();
    wire::Turn& turn = *message.mutable_turn();
    turn.set_lease(lease.value);
    turn.set_fence(token.value);
    turn.set_member(member.name.value);
    turn.set_life(member.incarnation.value);
    peer_connections_.reply(route->link, message);
}

void Planner::holder_changed(const LeaseName& lease) {
    // The notification is deferred to the event loop, because the planner core makes this call
    // while it is still applying an entry.
    if (watchers_.empty()) {
        return;
    }
    loop_.timers.soon([this, lease] {
        for (const auto& [link, until] : watchers_) {
            send_holder(link, lease);
        }
    });
}

void Planner::send_holder(LinkId link, const LeaseName& lease) {
    const lease::Lease* found = planner_core_->leases().find(lease);
    wire::Word message = new_message();
    wire::Holds& holds = *message.mutable_holds();
    holds.set_lease(lease.value);
    holds.set_cluster(cluster_.value);
    if (found) {
        holds.set_member(found->now.holder.name.value);
        holds.set_life(found->now.holder.incarnation.value);
        holds.set_fence(found->now.token.value);
    }
    if (const auto written = planner_core_->leases().documents().find(lease);
        written != planner_core_->leases().documents().end()) {
        holds.set_number(written->second.number);
    }
    peer_connections_.reply(link, message);
}

void Planner::handle_lease_request(LinkId link, const wire::Word& message) {
    const Seconds now = boottime_now();
    const wire::LeaseAsk& ask = message.lease_ask();
    if (pending_requests_.size() >= kMaxPendingRequests) {
        return;  // the sender repeats the request
    }
    if (ask.what() == wire::LeaseAsk::WATCH) {
        return add_watcher(now, link);
    }
    const LeaseRequestId id{++last_request_id_};
    pending_requests_[id] = {link, ask.no(), now};
    if (ask.what() == wire::LeaseAsk::READ && planner_core_) {
        return answer_with_document(id, LeaseName{ask.lease()});
    }
    const Member member{Name{ask.member()}, lease::Incarnation{ask.life()}};
    if (!member.name.value.empty()) {
        const Name forwarded_by = ask.passed_on() ? Name{message.from().self().name()} : Name{};
        directory_.record_member(now, member, link, forwarded_by);
    }
    if (planner_core_ && planner_core_->is_serving()) {
        return serve_request(now, id, ask);
    }
    if (forward_to_leader(id, ask)) {
        return;
    }
    if (ask.what() != wire::LeaseAsk::TABLE) {
        return reply(id, lease::Answer::not_now, {}, 0, 0);
    }
    answer_with_table(id, true);
}

// Subscribes a connection to the holders of leases, or extends its subscription.
void Planner::add_watcher(Seconds now, LinkId link) {
    if (!planner_core_ || (watchers_.size() >= kMaxWatchers && !watchers_.contains(link))) {
        return;
    }
    const bool is_new = std::exchange(watchers_[link], now + kWatchTimeout) == 0;
    if (!is_new) {
        return;
    }
    for (const auto& [name, lease] : planner_core_->leases().leases()) {
        send_holder(link, name);
    }
}

void Planner::answer_with_document(LeaseRequestId id, const LeaseName& lease) {
    wire::LeaseAnswer answer;
    const auto& documents = planner_core_->leases().documents();
    const auto found = documents.find(lease);
    if (found != documents.end()) {
        answer.set_number(found->second.number);
        answer.set_bytes(found->second.bytes);
    }
    finish_request(id, answer);
}

// `stale` marks the table as that of a planner that is not the leader and may lag behind it.
void Planner::answer_with_table(LeaseRequestId id, bool stale) {
    wire::LeaseAnswer answer;
    fill_table(*answer.mutable_table());
    if (stale) {
        answer.mutable_table()->set_stale(true);
    }
    finish_request(id, answer);
}

// Returns false if no other planner is known to be the leader, or if the request was forwarded
// already.
bool Planner::forward_to_leader(LeaseRequestId id, const wire::LeaseAsk& ask) {
    if (!planner_core_ || ask.passed_on()) {
        return false;
    }
    const ServerId leader = planner_core_->raft().leader();
    const auto& voters = planner_core_->raft().voters();
    const auto found = voters.find(leader);
    if (leader == ServerId{} || leader == self() || found == voters.end()) {
        return false;
    }
    wire::Word message = new_message();
    *message.mutable_lease_ask() = ask;
    message.mutable_lease_ask()->set_no(id.value);
    message.mutable_lease_ask()->set_passed_on(true);
    peer_connections_.send(found->second.name, found->second.address, message);
    return true;
}

void Planner::serve_request(Seconds now, LeaseRequestId id, const wire::LeaseAsk& ask) {
    const LeaseName lease{ask.lease()};
    const Member member{Name{ask.member()}, lease::Incarnation{ask.life()}};
    const FencingToken token{ask.fence()};
    switch (ask.what()) {
        case wire::LeaseAsk::TAKE:
            return planner_core_->acquire(now, id, lease, member);
        case wire::LeaseAsk::RENEW:
            return planner_core_->renew(now, id, lease, member, token);
        case wire::LeaseAsk::GIVE_BACK:
            return planner_core_->release(now, id, lease, member, token);
        case wire::LeaseAsk::STOP_WAITING:
            return planner_core_->stop_waiting(now, id, lease, member);
        case wire::LeaseAsk::RAISE:
            return planner_core_->set_alarm(now, id, lease, token, true, ask.key(), ask.text());
        case wire::LeaseAsk::CLEAR:
            return planner_core_->set_alarm(now, id, lease, token, false, ask.key(), ask.text());
        case wire::LeaseAsk::WRITE:
            return planner_core_->write_document(now, id, lease, token, ask.number(), ask.text());
        case wire::LeaseAsk::TAKE_AWAY:
            return serve_revoke(now, id, lease);
        case wire::LeaseAsk::ADMIT:
            return serve_admit(now, id, Name{ask.key()});
        case wire::LeaseAsk::REMOVE:
            return serve_remove(now, id, Name{ask.key()});
        default:
            return answer_with_table(id, false);
    }
}

void Planner::serve_revoke(Seconds now, LeaseRequestId id, const LeaseName& lease) {
    const lease::Lease* found = planner_core_->leases().find(lease);
    if (!found || found->now.token == FencingToken{}) {
        return reject(id, "nobody holds the lease '" + lease.value + "'");
    }
    planner_core_->revoke(now, id, lease);
}

void Planner::serve_admit(Seconds now, LeaseRequestId id, const Name& planner) {
    const JoiningPlanner* const joining = directory_.find_joining_planner(planner);
    if (!joining) {
        return reject(id, "no planner '" + planner.value +
                              "' has announced itself: start it first, with its folder empty");
    }
    planner_core_->admit(now, id, joining->server, planner, joining->address);
}

void Planner::serve_remove(Seconds now, LeaseRequestId id, const Name& planner) {
    const auto& voters = planner_core_->voter_membership().target_voters();
    const bool is_voter = std::any_of(voters.begin(), voters.end(), [&](const auto& each) {
        return each.second.name == planner;
    });
    if (!is_voter) {
        return reject(id, "no planner '" + planner.value + "' is in the voter set");
    }
    if (voters.size() <= 1) {
        return reject(id, "it is the only planner");
    }
    planner_core_->remove(now, id, planner);
}

void Planner::fill_table(wire::PlannerTable& table) const {
    const Seconds now = boottime_now();
    table.set_asked(planner_config_.name.value);
    if (!planner_core_) {
        return;
    }
    const raft::Raft& raft = planner_core_->raft();
    encode(planner_core_->leases(), table);
    for (auto& lease : *table.mutable_leases()) {
        lease.set_left(planner_core_->time_left(now, LeaseName{lease.name()}));
    }
    table.set_reign(raft.term().value);
    table.set_committed(raft.commit_index().value);
    table.set_last(raft.last_log_index().value);
    table.set_snapshot(raft.snapshot_index().value);
    for (const auto& [server, voter] : raft.voters()) {
        if (server == raft.leader()) {
            table.set_leader(voter.name.value);
        }
        fill_voter_row(now, server, voter, *table.add_planners());
    }
    for (const auto& [name, joining] : directory_.joining_planners()) {
        if (raft.voters().contains(joining.server)) {
            continue;
        }
        wire::PlannerRow& row = *table.add_planners();
        row.mutable_seat()->set_name(name.value);
        row.mutable_seat()->set_address(joining.address);
        row.mutable_seat()->set_peer(joining.server.value);
        row.set_heard_ago(now - joining.heard_at);
        row.set_state("knocks");
    }
}

void Planner::fill_voter_row(Seconds now, ServerId server, const raft::Voter& voter,
                             wire::PlannerRow& row) const {
    const raft::Raft& raft = planner_core_->raft();
    row.mutable_seat()->set_name(voter.name.value);
    row.mutable_seat()->set_address(voter.address);
    row.mutable_seat()->set_peer(server.value);
    row.mutable_seat()->set_votes(voter.votes);
    row.set_reached(raft.match_index(server).value);
    const Seconds since_reply = raft.time_since_reply(now, server);
    const bool never_heard = since_reply == std::numeric_limits<double>::infinity();
    row.set_heard_ago(never_heard ? -1 : since_reply);
    if (server == raft.leader()) {
        row.set_state("leads");
    } else if (raft.is_leader() && since_reply >= kSilentTimeout) {
        row.set_state("silent");
    } else {
        row.set_state(voter.votes ? "votes" : "learns");
    }
}

}  // namespace tideline::planner
