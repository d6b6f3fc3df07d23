#include <fmt/format.h>

#include "lease/clock.hpp"
#include "planner/planner.hpp"

namespace tideline::planner {
namespace {

using cluster::LinkId;
using cluster::Name;
using lease::boottime_now;
using lease::LeaseRequestId;

// The interval between announcements, and between removals of expired state.
constexpr Seconds kAnnounceInterval = 1;
constexpr Seconds kRequestTimeout = 10;

}  // namespace

wire::Word Planner::new_message() const {
    wire::Word message;
    message.mutable_from()->mutable_self()->set_name(planner_config_.name.value);
    message.mutable_from()->mutable_self()->set_address(planner_config_.address);
    return message;
}

void Planner::send_planning(ServerId to, const wire::Planning& message) {
    wire::Word encoded = new_message();
    *encoded.mutable_planning() = message;
    encoded.mutable_planning()->set_cluster(cluster_.value);
    const auto voter = planner_core_->raft().voters().find(to);
    if (const PlannerAddress* const known = directory_.find_planner(to)) {
        peer_connections_.send(known->name, known->address, encoded);
    } else if (voter != planner_core_->raft().voters().end()) {
        peer_connections_.send(voter->second.name, voter->second.address, encoded);
    }
}

void Planner::send_presence(const Name& name, const std::string& address) {
    wire::Word message = new_message();
    message.mutable_planning()->set_here(true);
    message.mutable_planning()->set_cluster(cluster_.value);
    peer_connections_.send(name, address, message);
}

void Planner::announce() {
    if (!planner_core_ || !planner_core_->raft().voters().contains(self())) {
        wire::Word encoded = new_message();
        wire::PlannerKnock& announcement = *encoded.mutable_planning()->mutable_knock();
        announcement.set_name(planner_config_.name.value);
        announcement.set_address(planner_config_.address);
        announcement.set_peer(self().value);
        encoded.mutable_planning()->set_cluster(cluster_.value);
        for (const auto& [name, address] : planner_config_.planners) {
            if (name != planner_config_.name) {
                peer_connections_.send(name, address, encoded);
            }
        }
    }
    remove_expired(boottime_now());
    announce_timer_ = loop_.timers.at(net::clock_now() + kAnnounceInterval, [this] { announce(); });
}

void Planner::remove_expired(Seconds now) {
    std::erase_if(pending_requests_,
                  [&](auto& each) { return now > each.second.received_at + kRequestTimeout; });
    std::erase_if(watchers_, [&](auto& each) {
        return now > each.second || !peer_connections_.is_open(each.first);
    });
    directory_.remove_expired(now);
}

// Records a planner that is not in the voter set. A leader admits it if its name was never admitted
// and the configuration lists it; otherwise an operator has to admit it.
void Planner::consider_admission(const Name& name, const std::string& address, ServerId server,
                                 Seconds now) {
    if (!planner_core_ || !planner_core_->is_serving() ||
        planner_core_->raft().voters().contains(server)) {
        return;
    }
    directory_.record_announcement(now, name, server, address);
    const raft::VoterMembership& voter_membership = planner_core_->voter_membership();
    const auto configured = planner_config_.planners.find(name);
    if (!voter_membership.is_known(name) && configured != planner_config_.planners.end() &&
        configured->second == address) {
        log_.line("planner: admitting new planner: name={}", name.value);
        planner_core_->admit(now, LeaseRequestId{++last_request_id_}, server, name, address);
    } else if (!voter_membership.is_admitted(server) &&
               logged_faults_.insert(fmt::format("{}{}", name.value, server.value)).second) {
        log_.alarm(
            "planner: {} is here without a vote, as after the loss of its disk: admit it if it is "
            "to replace the former one (tideline planners admit)",
            name.value);
    }
}

// Dispatches a message. A planner that is not the leader forwards a member's request to the leader,
// and the leader's answer or notification to the member.
void Planner::on_message(LinkId link, const wire::Word& message) {
    if (!fatal_error_.empty()) {
        return;
    }
    if (message.has_planning()) {
        handle_planning(link, message);
    } else if (message.has_lease_ask()) {
        handle_lease_request(link, message);
    } else if (message.has_lease_answer()) {
        const auto pending = pending_requests_.find(LeaseRequestId{message.lease_answer().no()});
        if (pending == pending_requests_.end()) {
            return;
        }
        wire::LeaseAnswer answer = message.lease_answer();
        const PendingRequest request = pending->second;
        pending_requests_.erase(pending);
        send_answer(request, answer);
    } else if (message.has_turn()) {
        const MemberRoute* const route = directory_.route_to(
            {Name{message.turn().member()}, lease::Incarnation{message.turn().life()}});
        if (route && route->planner.value.empty()) {
            peer_connections_.reply(route->link, message);
        }
    }
    schedule_tick();
}

void Planner::handle_planning(LinkId link, const wire::Word& message) {
    const wire::Planning& planning = message.planning();
    const Name name{message.from().self().name()};
    const std::string& address = message.from().self().address();
    if (name.value.empty() || name == planner_config_.name) {
        return;
    }
    if (!peer_connections_.assign_member(link, name, address)) {
        return log_.line("planner: message rejected: sender={} reason=wrong_address", name.value);
    }
    if (planning.has_knock() && handle_announcement(name, address, planning)) {
        return;
    }
    if (planning.here() && handle_presence(name, planning)) {
        return;
    }
    if (!join_cluster_of(planning) || !is_of_this_cluster(name, address, planning)) {
        return;
    }
    directory_.record_planner(ServerId{planning.from()}, name, address);
    handle_raft_message(*planner_core_, boottime_now(), planning);
}

// Returns whether the message is handled completely.
bool Planner::handle_announcement(const Name& name, const std::string& address,
                                  const wire::Planning& planning) {
    if (cluster_.value == 0) {
        return true;
    }
    send_presence(name, address);
    if (planning.cluster() != 0 && planning.cluster() != cluster_.value) {
        return false;
    }
    const wire::PlannerKnock& announcement = planning.knock();
    consider_admission(Name{announcement.name()}, announcement.address(),
                       ServerId{announcement.peer()}, boottime_now());
    return true;
}

// Handles the answer to an announcement. Returns whether the message is handled completely.
bool Planner::handle_presence(const Name& name, const wire::Planning& planning) {
    if (founds_cluster_ && !planner_core_ && planning.cluster() != 0) {
        fatal_error_ =
            fmt::format("{} belongs to cluster {:016x}: start without --found to join it",
                        name.value, planning.cluster());
    }
    return cluster_.value == 0 || planning.cluster() == cluster_.value;
}

// A planner without a cluster joins the cluster of a leader that addresses it by its server id,
// since such a leader has admitted it. Returns false if the disk failed.
bool Planner::join_cluster_of(const wire::Planning& planning) {
    const bool admitted = cluster_.value == 0 && planner_core_ &&
                          ServerId{planning.to()} == self() && planning.cluster() != 0 &&
                          (planning.has_tell() || planning.has_tell_snapshot());
    if (!admitted) {
        return true;
    }
    try {
        raft_storage_.join_cluster({planning.cluster()});
    } catch (const std::exception& error) {
        fatal_error_ = error.what();
        return false;
    }
    cluster_ = {planning.cluster()};
    log_.line("planner: cluster joined: cluster={:016x}", cluster_.value);
    return true;
}

// Invariant: messages of another cluster never reach Raft. Otherwise a planner with a disk of
// another cluster could vote in this one and receive its log.
bool Planner::is_of_this_cluster(const Name& name, const std::string& address,
                                 const wire::Planning& planning) {
    if (planner_core_ && planning.cluster() == cluster_.value) {
        return true;
    }
    if (!planner_core_ || planning.cluster() == 0 || cluster_.value == 0) {
        return false;
    }
    if (logged_faults_.insert("cluster " + name.value).second) {
        log_.alarm("planner: {} is of another cluster, {:016x}: its messages are rejected",
                   name.value, planning.cluster());
    }
    if (!planning.here()) {
        send_presence(name, address);  // lets the other planner log the same fault
    }
    return false;
}

}  // namespace tideline::planner
