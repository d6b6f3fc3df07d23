#include "planner_world/member_node.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace tideline::simulation {

PlannerWorld::MemberNode::MemberNode(PlannerWorld& world, int node_index)
    : index(node_index),
      world_(&world),
      current_planner_(world.settings_.any_planner ? -1 : node_index % world.settings_.planners) {
    start();
}

PlannerWorld::MemberNode::MemberNode(const MemberNode& other, PlannerWorld& copied_world)
    : index(other.index),
      incarnation(other.incarnation),
      up(other.up),
      wanted(other.wanted),
      pending_act(other.pending_act),
      world_(&copied_world),
      current_planner_(other.current_planner_),
      requested_at_(other.requested_at_),
      alarm_requests_(other.alarm_requests_),
      last_alarm_request_(other.last_alarm_request_) {
    if (other.lease_client) {
        lease_client = std::make_unique<lease::LeaseClient>(*other.lease_client, *this);
    }
}

void PlannerWorld::MemberNode::start() {
    ++incarnation;
    up = true;
    requested_at_.clear();
    alarm_requests_.clear();
    pending_act.reset();
    lease_client = std::make_unique<lease::LeaseClient>(*this, world_->settings_.lease_client,
                                                        lease::Incarnation{incarnation});
    if (wanted) {
        lease_client->acquire(world_->local_time(index), kLease);
    }
}

void PlannerWorld::MemberNode::crash() {
    lease_client.reset();
    up = false;
}

void PlannerWorld::MemberNode::set_wanted(bool is_wanted) {
    wanted = is_wanted;
    if (!up) {
        return;
    }
    if (wanted) {
        lease_client->acquire(world_->local_time(index), kLease);
    } else {
        lease_client->release(world_->local_time(index), kLease);
    }
}

void PlannerWorld::MemberNode::set_alarm(bool raised, FencingToken token) {
    const LeaseRequestId id{++last_alarm_request_};
    alarm_requests_[id.value] = world_->history_.size();
    world_->history_.push_back(
        {raised ? RegisterObservation::may_raise : RegisterObservation::may_clear, token,
         world_->now_, std::numeric_limits<double>::infinity()});
    send_request(raised ? wire::LeaseAsk::RAISE : wire::LeaseAsk::CLEAR, id, token);
}

bool PlannerWorld::MemberNode::handle_message(double local_now, const wire::Word& message) {
    if (message.has_turn()) {
        if (message.turn().life() == incarnation) {
            lease_client->on_turn(local_now, kLease);
        }
        return true;
    }
    const wire::LeaseAnswer& answer = message.lease_answer();
    if (const auto alarm = alarm_requests_.find(answer.no()); alarm != alarm_requests_.end()) {
        handle_alarm_answer(answer, world_->history_[alarm->second]);
        alarm_requests_.erase(alarm);
        return false;
    }
    handle_lease_answer(local_now, answer);
    return true;
}

void PlannerWorld::MemberNode::handle_alarm_answer(const wire::LeaseAnswer& answer,
                                                   RegisterObservation& observation) {
    // A rejected request had no effect. After any other failure, such as a change of leader, it is
    // unknown whether the request took effect.
    if (static_cast<lease::Answer>(answer.what()) == lease::Answer::over) {
        observation.requested_at = -1;
    }
    if (static_cast<lease::Answer>(answer.what()) != lease::Answer::granted) {
        return;
    }
    if (observation.kind == RegisterObservation::may_raise) {
        observation.kind =
            answer.done() ? RegisterObservation::raised : RegisterObservation::not_raised;
    } else {
        observation.kind =
            answer.done() ? RegisterObservation::cleared : RegisterObservation::not_cleared;
    }
    observation.answered_at = world_->now_;
}

void PlannerWorld::MemberNode::handle_lease_answer(double local_now,
                                                   const wire::LeaseAnswer& answer) {
    const LeaseRequestId id{answer.no()};
    const FencingToken token{answer.fence()};
    switch (static_cast<lease::Answer>(answer.what())) {
        case lease::Answer::granted:
            if (requested_at_.contains(id)) {
                world_->history_.push_back(
                    {RegisterObservation::granted, token, requested_at_[id], world_->now_});
            }
            lease_client->on_granted(local_now, id, token, answer.span());
            break;
        case lease::Answer::waiting:
            lease_client->on_waiting(local_now, id, answer.before());
            break;
        case lease::Answer::over:
            lease_client->on_over(local_now, id);
            break;
        case lease::Answer::not_now:
            lease_client->on_not_now(local_now, id);
            break;
        default:
            lease_client->on_refused(local_now, id);
    }
    requested_at_.erase(id);
}

void PlannerWorld::MemberNode::send_request(wire::LeaseAsk::What kind, LeaseRequestId id,
                                            FencingToken token) {
    wire::Word envelope;
    wire::LeaseAsk& request = *envelope.mutable_lease_ask();
    request.set_what(kind);
    request.set_no(id.value);
    request.set_lease(kLease.value);
    request.set_member(fmt::format("m{}", index));
    request.set_life(incarnation);
    request.set_fence(token.value);
    world_->send(index, current_planner_, envelope);
}

void PlannerWorld::MemberNode::request_acquire(LeaseRequestId id, const LeaseName&) {
    requested_at_[id] = world_->now_;
    send_request(wire::LeaseAsk::TAKE, id, {});
}

void PlannerWorld::MemberNode::request_renewal(LeaseRequestId id, const LeaseName&,
                                               FencingToken token) {
    requested_at_[id] = world_->now_;
    send_request(wire::LeaseAsk::RENEW, id, token);
}

void PlannerWorld::MemberNode::request_release(LeaseRequestId id, const LeaseName&,
                                               FencingToken token) {
    send_request(wire::LeaseAsk::GIVE_BACK, id, token);
}

void PlannerWorld::MemberNode::request_stop_waiting(LeaseRequestId id, const LeaseName&) {
    send_request(wire::LeaseAsk::STOP_WAITING, id, {});
}

void PlannerWorld::MemberNode::switch_planner() {
    if (current_planner_ >= 0) {
        current_planner_ = (current_planner_ + 1) % world_->settings_.planners;
    }
}

void PlannerWorld::MemberNode::on_acquired(const LeaseName&, FencingToken token) {
    ++world_->grants_;
    const std::string holder = fmt::format("m{}.{}", index, incarnation);
    const auto [known, is_new] = world_->holder_by_token_.try_emplace(token, holder);
    if (known->second != holder) {
        world_->record_violation(fmt::format("fencing token {} held by both {} and {}", token.value,
                                             known->second, holder));
    }
    if (is_new && token < world_->highest_held_token_) {
        world_->record_violation(
            fmt::format("{} acquired fencing token {} after token {} had been held", holder,
                        token.value, world_->highest_held_token_.value));
    }
    world_->highest_held_token_ = std::max(world_->highest_held_token_, token);
}

std::string PlannerWorld::MemberNode::state() const {
    std::string text =
        fmt::format("{}.{}.{}", incarnation, up, pending_act ? pending_act->value : 0);
    if (lease_client) {
        text += lease_client->fingerprint(world_->local_time(index));
    }
    return text;
}

}  // namespace tideline::simulation
