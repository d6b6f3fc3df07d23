#include "planner_world/planner_node.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <string>

namespace tideline::simulation {

using lease::Member;

std::string planner_name(int index) {
    return fmt::format("p{}", index + 1);
}

PlannerWorld::PlannerNode::PlannerNode(PlannerWorld& world, int node_index)
    : index(node_index), world_(&world) {}

PlannerWorld::PlannerNode::PlannerNode(const PlannerNode& other, PlannerWorld& copied_world)
    : index(other.index),
      disk(other.disk),
      persistent_state(other.persistent_state),
      pending_writes(other.pending_writes),
      last_persist_id(other.last_persist_id),
      open_requests(other.open_requests),
      last_request_id(other.last_request_id),
      start_count(other.start_count),
      world_(&copied_world) {
    if (other.planner_core) {
        planner_core = std::make_unique<planner::PlannerCore>(
            *other.planner_core, static_cast<planner::PlannerCoreHost&>(*this));
    }
}

ServerId PlannerWorld::PlannerNode::self() const {
    return raft::server_id_of(lease::Name{planner_name(index)}, raft::Disk{disk});
}

void PlannerWorld::PlannerNode::send_planning(ServerId to, const wire::Planning& message) {
    wire::Word envelope;
    *envelope.mutable_planning() = message;
    const int node = world_->planner_index_of(to);
    if (node >= 0) {
        world_->send(index, node, envelope);
    }
}

void PlannerWorld::PlannerNode::persist(raft::PersistId id, const raft::PersistRequest& request) {
    pending_writes.push_back(request);
    last_persist_id = id;
}

void PlannerWorld::PlannerNode::reply(LeaseRequestId id, lease::Answer answer, FencingToken token,
                                      Seconds span, std::size_t before) {
    wire::LeaseAnswer message;
    message.set_what(static_cast<std::uint32_t>(answer));
    message.set_fence(token.value);
    message.set_span(span);
    message.set_before(before);
    send_answer(id, message);
}

void PlannerWorld::PlannerNode::on_command_committed(LeaseRequestId id, bool changed) {
    wire::LeaseAnswer message;
    message.set_done(changed);
    send_answer(id, message);
}

void PlannerWorld::PlannerNode::notify_turn(const Member& member, const LeaseName& lease,
                                            FencingToken token) {
    wire::Word envelope;
    envelope.mutable_turn()->set_lease(lease.value);
    envelope.mutable_turn()->set_fence(token.value);
    envelope.mutable_turn()->set_life(member.incarnation.value);
    world_->send(index, std::stoi(member.name.value.substr(1)), envelope);
}

void PlannerWorld::PlannerNode::send_answer(LeaseRequestId id, wire::LeaseAnswer& answer) {
    const auto request = open_requests.find(id);
    if (request == open_requests.end()) {
        return;
    }
    wire::Word envelope;
    answer.set_no(request->second.number);
    *envelope.mutable_lease_answer() = answer;
    world_->send(index, request->second.node, envelope);
    open_requests.erase(request);
}

void PlannerWorld::PlannerNode::start() {
    pending_writes.clear();
    open_requests.clear();
    const std::uint64_t seed =
        world_->settings_.seed * 7919ULL + static_cast<std::uint64_t>(index) * 31 + ++start_count;
    planner_core = std::make_unique<planner::PlannerCore>(
        static_cast<planner::PlannerCoreHost&>(*this), world_->settings_.planner_core, self(),
        persistent_state, seed, world_->local_time(index));
}

void PlannerWorld::PlannerNode::crash() {
    planner_core.reset();
    pending_writes.clear();
}

bool PlannerWorld::PlannerNode::handle_message(double local_now, int from, wire::Word& message) {
    if (message.has_planning()) {
        planner::handle_raft_message(*planner_core, local_now, message.planning());
    } else if (message.has_lease_ask()) {
        return handle_lease_request(local_now, from, message);
    }
    return true;
}

bool PlannerWorld::PlannerNode::handle_lease_request(double local_now, int from,
                                                     wire::Word& message) {
    const wire::LeaseAsk& ask = message.lease_ask();
    const ServerId leader = planner_core->raft().leader();
    if (!planner_core->is_serving() && !ask.passed_on() && leader != ServerId{} &&
        leader != self()) {
        // Forwards the request to the leader, which answers the member directly.
        message.mutable_lease_ask()->set_passed_on(true);
        world_->send(from, world_->planner_index_of(leader), message);
        return false;
    }
    const LeaseRequestId id{++last_request_id};
    open_requests[id] = {from, ask.no()};
    const Member member{lease::Name{ask.member()}, lease::Incarnation{ask.life()}};
    const FencingToken token{ask.fence()};
    switch (ask.what()) {
        case wire::LeaseAsk::TAKE:
            planner_core->acquire(local_now, id, kLease, member);
            break;
        case wire::LeaseAsk::RENEW:
            planner_core->renew(local_now, id, kLease, member, token);
            break;
        case wire::LeaseAsk::GIVE_BACK:
            planner_core->release(local_now, id, kLease, member, token);
            break;
        case wire::LeaseAsk::STOP_WAITING:
            planner_core->stop_waiting(local_now, id, kLease, member);
            break;
        default:
            planner_core->set_alarm(local_now, id, kLease, token,
                                    ask.what() == wire::LeaseAsk::RAISE, "key", "text");
    }
    return true;
}

void PlannerWorld::PlannerNode::store_pending_writes() {
    for (const raft::PersistRequest& write : pending_writes) {
        if (write.vote_state) {
            persistent_state.vote_state = *write.vote_state;
        }
        apply_snapshot(write);
        if (write.truncate_from.value > 0) {
            persistent_state.entries.resize(write.truncate_from.value -
                                            persistent_state.snapshot.last_included_index.value -
                                            1);
        }
        for (const auto& entry : write.entries) {
            persistent_state.entries.push_back(entry);
        }
    }
    pending_writes.clear();
}

void PlannerWorld::PlannerNode::apply_snapshot(const raft::PersistRequest& write) {
    if (!write.snapshot) {
        return;
    }
    auto& entries = persistent_state.entries;
    const auto compacted = write.snapshot->last_included_index.value -
                           persistent_state.snapshot.last_included_index.value;
    if (write.discard_log || compacted >= entries.size()) {
        entries.clear();
    } else {
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(compacted));
    }
    persistent_state.snapshot = *write.snapshot;
}

void PlannerWorld::PlannerNode::end_batch_if_due(double local_now) const {
    if (planner_core->wants_round()) {
        planner_core->end_batch(local_now);
    }
}

std::string PlannerWorld::PlannerNode::state() const {
    std::string text = fmt::format(
        "{}{}", disk, planner_core ? planner_core->fingerprint(world_->local_time(index)) : "-");
    for (const raft::PersistRequest& write : pending_writes) {
        text += fmt::format("s{}.{}", write.entries.size(),
                            write.vote_state ? write.vote_state->voted_for.value : 0);
    }
    return text + fmt::format("k{}.{}.{}|", persistent_state.vote_state.term.value,
                              persistent_state.vote_state.voted_for.value,
                              persistent_state.entries.size());
}

}  // namespace tideline::simulation
