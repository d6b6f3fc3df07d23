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
    const double at = local_time(to);
    if (is_planner(to)) {
        PlannerNode& node = planner_node(to);
        if (node.handle_message(at, message.from, envelope)) {
            node.end_batch_if_due(at);
            check();
        }
    } else if (member_node(to).handle_message(at, envelope)) {
        check();
    }
}

void PlannerWorld::complete_writes(int planner) {
    if (!has_pending_writes(planner)) {
        return;
    }
    PlannerNode& node = planner_node(planner);
    const auto id = node.last_write;
    node.store_pending_writes();
    const double at = local_time(planner);
    node.planner_core->with_raft(at, [&](raft::Raft& raft) { raft.on_persisted(at, id); });
    node.end_batch_if_due(at);
    check();
}

void PlannerWorld::tick(int node) {
    if (!up(node)) {
        return;
    }
    const double at = local_time(node);
    if (is_planner(node)) {
        planner_node(node).planner_core->tick(at);
        planner_node(node).end_batch_if_due(at);
    } else {
        member_node(node).lease_client->tick(at);
    }
    check();
}

void PlannerWorld::start_election(int planner) {
    const double at = local_time(planner);
    planner_node(planner).planner_core->with_raft(
        at, [&](raft::Raft& raft) { raft.on_election_timeout(at); });
    check();
}

void PlannerWorld::send_heartbeats(int planner) {
    planner_node(planner).planner_core->with_raft(local_time(planner),
                                                  [&](raft::Raft& raft) { raft.start_round(); });
    check();
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
    check();
}

void PlannerWorld::wipe(int planner) {
    PlannerNode& node = planner_node(planner);
    node.persistent_state = {};
    ++node.disk;
}

void PlannerWorld::admit(int planner, int by) {
    PlannerNode& node = planner_node(by);
    if (!node.planner_core) {
        return;
    }
    node.planner_core->admit(local_time(by), LeaseRequestId{++node.last_request},
                             server_id_of(planner), lease::Name{planner_name(planner)},
                             planner_name(planner));
    check();
}

void PlannerWorld::revoke(int by) {
    PlannerNode& node = planner_node(by);
    if (!node.planner_core) {
        return;
    }
    node.planner_core->revoke(local_time(by), LeaseRequestId{++node.last_request}, kLease);
    check();
}

void PlannerWorld::set_wanted(int member, bool wanted) {
    MemberNode& node = member_node(member);
    node.set_wanted(wanted);
    if (node.up) {
        check();
    }
}

void PlannerWorld::renew_now(int member) {
    MemberNode& node = member_node(member);
    if (node.up) {
        node.lease_client->renew_now(local_time(member), kLease);
    }
    check();
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
    if (token < last_act_) {
        fail(fmt::format("an act under fencing token {} took effect after one under {}",
                         token.value, last_act_.value));
    }
    last_act_ = std::max(last_act_, token);
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
