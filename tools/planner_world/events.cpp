// PlannerWorld: the events that its driver can cause.

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "planner_world/member_node.hpp"
#include "planner_world/planner_node.hpp"
#include "planner_world/world.hpp"

namespace tideline::simulation {

void PlannerWorld::deliver(const PlannerWorldMessage& message, int to) {
    if (!up(to)) {
        return;
    }
    wire::Word envelope;
    envelope.ParseFromString(message.bytes);
    const double local_now = local_time(to);
    if (is_planner(to)) {
        PlannerNode& node = planner_node(to);
        if (node.handle_message(local_now, message.from, envelope)) {
            node.end_batch_if_due(local_now);
            check_invariants();
        }
    } else if (member_node(to).handle_message(local_now, envelope)) {
        check_invariants();
    }
}

void PlannerWorld::complete_writes(int planner) {
    if (!has_pending_writes(planner)) {
        return;
    }
    PlannerNode& node = planner_node(planner);
    const auto id = node.last_persist_id;
    node.store_pending_writes();
    const double local_now = local_time(planner);
    node.planner_core->with_raft(local_now,
                                 [&](raft::Raft& raft) { raft.on_persisted(local_now, id); });
    node.end_batch_if_due(local_now);
    check_invariants();
}

void PlannerWorld::tick(int node) {
    if (!up(node)) {
        return;
    }
    const double local_now = local_time(node);
    if (is_planner(node)) {
        planner_node(node).planner_core->tick(local_now);
        planner_node(node).end_batch_if_due(local_now);
    } else {
        member_node(node).lease_client->tick(local_now);
    }
    check_invariants();
}

void PlannerWorld::start_election(int planner) {
    const double local_now = local_time(planner);
    planner_node(planner).planner_core->with_raft(
        local_now, [&](raft::Raft& raft) { raft.on_election_timeout(local_now); });
    check_invariants();
}

void PlannerWorld::send_heartbeats(int planner) {
    planner_node(planner).planner_core->with_raft(local_time(planner),
                                                  [&](raft::Raft& raft) { raft.start_round(); });
    check_invariants();
}

void PlannerWorld::crash(int node) {
    if (is_planner(node)) {
        planner_node(node).crash();
    } else {
        member_node(node).crash();
    }
}

void PlannerWorld::start(int node) {
    if (up(node)) {
        return;
    }
    if (is_planner(node)) {
        planner_node(node).start();
    } else {
        member_node(node).start();
    }
    check_invariants();
}

void PlannerWorld::wipe(int planner) {
    PlannerNode& node = planner_node(planner);
    node.persistent_state = {};
    ++node.disk;
}

void PlannerWorld::admit(int planner, int receiving_planner) {
    PlannerNode& node = planner_node(receiving_planner);
    if (!node.planner_core) {
        return;
    }
    node.planner_core->admit(local_time(receiving_planner), LeaseRequestId{++node.last_request_id},
                             server_id_of(planner), lease::Name{planner_name(planner)},
                             planner_name(planner));
    check_invariants();
}

void PlannerWorld::revoke(int receiving_planner) {
    PlannerNode& node = planner_node(receiving_planner);
    if (!node.planner_core) {
        return;
    }
    node.planner_core->revoke(local_time(receiving_planner), LeaseRequestId{++node.last_request_id},
                              kLease);
    check_invariants();
}

void PlannerWorld::set_wanted(int member, bool wanted) {
    MemberNode& node = member_node(member);
    node.set_wanted(wanted);
    if (node.up) {
        check_invariants();
    }
}

void PlannerWorld::renew_now(int member) {
    MemberNode& node = member_node(member);
    if (node.up) {
        node.lease_client->renew_now(local_time(member), kLease);
    }
    check_invariants();
}

void PlannerWorld::check_may_act(int member) {
    MemberNode& node = member_node(member);
    if (node.up) {
        node.pending_act = node.lease_client->may_act(local_time(member), kLease);
    }
}

void PlannerWorld::perform_act(int member) {
    MemberNode& node = member_node(member);
    if (!node.up || !node.pending_act) {
        return;
    }
    const FencingToken token = *std::exchange(node.pending_act, std::nullopt);
    if (!fencing_check_.passes(kLease, token)) {
        ++refused_;
        return;
    }
    if (token < last_act_token_) {
        record_violation(fmt::format("an act under fencing token {} took effect after one under {}",
                                     token.value, last_act_token_.value));
    }
    last_act_token_ = std::max(last_act_token_, token);
    ++acted_;
}

void PlannerWorld::set_alarm(int member, bool raised) {
    MemberNode& node = member_node(member);
    const auto token =
        node.up ? node.lease_client->may_act(local_time(member), kLease) : std::nullopt;
    if (token) {
        node.set_alarm(raised, *token);
    }
}

}  // namespace tideline::simulation
