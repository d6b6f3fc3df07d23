#include "planner_world/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "planner_world/member_node.hpp"
#include "planner_world/planner_node.hpp"

namespace tideline::simulation {

using lease::Name;

const LeaseName PlannerWorld::kLease{"task"};

PlannerWorld::PlannerWorld(const PlannerWorldSettings& settings) : settings_(settings), now_(100) {
    raft::VoterSet voter_set;
    raft::VoterMembership voter_membership;
    for (int i = 0; i < settings_.planners; ++i) {
        planners_.push_back(std::make_unique<PlannerNode>(*this, i));
        voter_set[server_id_of(i)] = {Name{planner_name(i)}, planner_name(i), true};
        voter_membership.admit(Name{planner_name(i)}, server_id_of(i), planner_name(i));
    }
    for (auto& planner : planners_) {
        planner->persistent_state = {
            {{1}, {}}, {{1}, {1}, voter_set, planner::encode_state({}, voter_membership)}, {}};
        planner->start();
    }
    for (int i = 0; i < settings_.members; ++i) {
        members_.push_back(std::make_unique<MemberNode>(*this, settings_.planners + i));
    }
}

PlannerWorld::PlannerWorld(const PlannerWorld& other)
    : settings_(other.settings_),
      now_(other.now_),
      sent_(other.sent_),
      fencing_check_(other.fencing_check_),
      fault_(other.fault_),
      leader_by_term_(other.leader_by_term_),
      committed_entries_(other.committed_entries_),
      applied_fingerprints_(other.applied_fingerprints_),
      holder_by_token_(other.holder_by_token_),
      highest_held_token_(other.highest_held_token_),
      last_act_token_(other.last_act_token_),
      history_(other.history_),
      grants_(other.grants_),
      acted_(other.acted_),
      refused_(other.refused_) {
    for (const auto& planner : other.planners_) {
        planners_.push_back(std::make_unique<PlannerNode>(*planner, *this));
    }
    for (const auto& member : other.members_) {
        members_.push_back(std::make_unique<MemberNode>(*member, *this));
    }
}

PlannerWorld::~PlannerWorld() = default;

PlannerWorld::PlannerNode& PlannerWorld::planner_node(int planner) const {
    return *planners_[static_cast<std::size_t>(planner)];
}

PlannerWorld::MemberNode& PlannerWorld::member_node(int member) const {
    return *members_[static_cast<std::size_t>(member - settings_.planners)];
}

double PlannerWorld::clock_rate(int node) const {
    return is_planner(node) ? 1 + settings_.drift : 1 - settings_.drift;
}

// The clocks of the nodes differ in offset and in rate.
double PlannerWorld::local_time(int node) const {
    return now_ * clock_rate(node) + 1000.0 * node;
}

ServerId PlannerWorld::server_id_of(int planner) const {
    return planner_node(planner).self();
}

// A server id with a former disk of a planner also leads to that planner, whose address is the
// same.
int PlannerWorld::planner_index_of(ServerId peer) const {
    for (const auto& planner : planners_) {
        for (std::uint64_t disk = 1; disk <= planner->disk; ++disk) {
            if (raft::server_id_of(Name{planner_name(planner->index)}, raft::Disk{disk}) == peer) {
                return planner->index;
            }
        }
    }
    return -1;
}

std::string PlannerWorld::name_of(int node) const {
    return is_planner(node) ? planner_name(node) : fmt::format("m{}", node);
}

void PlannerWorld::record_violation(const std::string& text) {
    if (fault_.empty()) {
        fault_ = text;
    }
}

void PlannerWorld::send(int from, int to, const wire::Word& message) {
    sent_.push_back({from, to, message.SerializeAsString()});
}

bool PlannerWorld::up(int node) const {
    return is_planner(node) ? planner_node(node).planner_core != nullptr : member_node(node).up;
}

const planner::PlannerCore* PlannerWorld::planner_core(int planner) const {
    return planner_node(planner).planner_core.get();
}

bool PlannerWorld::has_pending_writes(int planner) const {
    const PlannerNode& node = planner_node(planner);
    return node.planner_core && !node.pending_writes.empty();
}

bool PlannerWorld::is_voter(int planner) const {
    for (const auto& node : planners_) {
        if (!node->planner_core || !node->planner_core->is_serving()) {
            continue;
        }
        const raft::Raft& raft_core = node->planner_core->raft();
        const auto voter = raft_core.voters().find(server_id_of(planner));
        if (raft_core.commit_index() == raft_core.last_log_index() &&
            voter != raft_core.voters().end() && voter->second.votes) {
            return true;
        }
    }
    return false;
}

bool PlannerWorld::may_act(int member) const {
    return token_of(member) > FencingToken{};
}

FencingToken PlannerWorld::token_of(int member) const {
    const MemberNode& node = member_node(member);
    if (!node.up) {
        return {};
    }
    return node.lease_client->may_act(local_time(member), kLease).value_or(FencingToken{});
}

bool PlannerWorld::has_pending_act(int member) const {
    return member_node(member).pending_act.has_value();
}

bool PlannerWorld::is_wanted(int member) const {
    return member_node(member).wanted;
}

double PlannerWorld::due(int node) const {
    if (!up(node)) {
        return std::numeric_limits<double>::infinity();
    }
    const double local_due = is_planner(node) ? planner_node(node).planner_core->due()
                                              : member_node(node).lease_client->due();
    return (local_due - 1000.0 * node) / clock_rate(node);
}

std::string PlannerWorld::state() const {
    std::string text = fmt::format("{:.3f}#", now_);
    for (const auto& planner : planners_) {
        text += planner->state();
    }
    for (const auto& member : members_) {
        text += member->state();
    }
    return text + fmt::format("g{}", fencing_check_.newest(kLease).value);
}

}  // namespace tideline::simulation
