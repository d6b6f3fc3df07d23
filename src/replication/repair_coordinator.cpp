#include "replication/repair_coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

#include "replication/replica_set_planner.hpp"

namespace tideline::replication {
namespace {

// planning interval, as a fraction of the report interval
constexpr double kPlanIntervalFactor = 0.25;
constexpr Seconds kProposalRetryDelay = 0.3;  // delay of the next proposal after a failed one
// time after which an unanswered proposal counts as failed
constexpr Seconds kProposalTimeout = 3;

}  // namespace

RepairCoordinator::RepairCoordinator(RepairCoordinatorHost& host, const RepairSettings& settings)
    : host_(&host), settings_(settings), member_health_(settings) {}
RepairCoordinator::RepairCoordinator(const RepairCoordinator& other, RepairCoordinatorHost& host)
    : RepairCoordinator(other) {
    host_ = &host;
}

void RepairCoordinator::lease_acquired(Seconds now, const ReplicaTable& table) {
    holds_lease_ = true;
    has_pending_proposal_ = false;
    next_report_request_at_ = now;
    next_proposal_at_ = now;
    table_ = table;
    member_health_.lease_acquired(now, table);
    primary_reports_.clear();
    alarms_.reset();
}

void RepairCoordinator::lease_lost() {
    holds_lease_ = false;
}

void RepairCoordinator::apply_table(Seconds now, const ReplicaTable& table) {
    if (table.version <= table_.version) {
        return;
    }
    table_ = table;
    has_pending_proposal_ = false;
    member_health_.apply_table(table);
    primary_reports_.clear();
    next_proposal_at_ = now;
}

void RepairCoordinator::proposal_failed(Seconds now) {
    has_pending_proposal_ = false;
    next_proposal_at_ = now + kProposalRetryDelay;
}

void RepairCoordinator::update_member(Seconds now, const Name& name, const Incarnation& incarnation,
                                      const Place& place, bool present) {
    member_health_.update_member(now, name, incarnation, place, present);
}

void RepairCoordinator::on_report(Seconds now, const Name& name, const Incarnation& incarnation,
                                  const ReplicaReport& report,
                                  const std::set<Name>& silent_primaries) {
    if (member_health_.add_report(now, name, incarnation, report, silent_primaries)) {
        primary_reports_.add(now, name, report, table_);
    }
}

void RepairCoordinator::remove_member(Seconds, const Name& name) {
    member_health_.remove_member(name);
}

void RepairCoordinator::plan(Seconds now) {
    for (const Exclusion& exclusion :
         member_health_.exclude_unresponsive(now, table_, primary_reports_)) {
        host_->on_member_excluded(exclusion);
    }
    member_health_.readmit_returned_members(table_);
    update_status(now);
    if (may_propose(now)) {
        propose_next_table(now);
    }
}

// Counts the shards, and raises or clears alarms once the members have had time to report.
void RepairCoordinator::update_status(Seconds now) {
    status_ = replication_status(now, table_, member_health_);
    if (now >= member_health_.lease_acquired_at() + kMaxReplicaReportAge) {
        alarms_.update(now, status_, table_, *host_);
    }
}

bool RepairCoordinator::may_propose(Seconds now) {
    if (has_pending_proposal_ && now > next_proposal_at_ + kProposalTimeout) {
        has_pending_proposal_ = false;
    }
    return !has_pending_proposal_ && now >= next_proposal_at_;
}

// Proposes the next table if it differs from the present one in more than its version.
void RepairCoordinator::propose_next_table(Seconds now) {
    const ReplicaTable next =
        ReplicaSetPlanner(settings_, table_, member_health_, primary_reports_, now).next_table();
    if (next.shards.empty()) {
        return;
    }
    ReplicaTable unchanged = table_;
    unchanged.version = next.version;
    if (next == unchanged) {
        return;
    }
    has_pending_proposal_ = true;
    next_proposal_at_ = now + settings_.report_interval;
    host_->propose(next);
}

void RepairCoordinator::tick(Seconds now) {
    if (!holds_lease_) {
        return;
    }
    if (now >= next_report_request_at_) {
        next_report_request_at_ = now + settings_.report_interval;
        host_->request_reports();
    }
    if (now < next_plan_at_) {
        return;
    }
    next_plan_at_ = now + kPlanIntervalFactor * settings_.report_interval;
    plan(now);
}

Seconds RepairCoordinator::due() const {
    return holds_lease_ ? std::min(next_report_request_at_, next_plan_at_)
                        : std::numeric_limits<double>::infinity();
}

std::string RepairCoordinator::state() const {
    std::string text =
        fmt::format("{}{}{}", holds_lease_, has_pending_proposal_, table_.version.value);
    for (const auto& [name, member] : member_health_.members()) {
        text += fmt::format("m{}.{}.{}.{}.{}", name.value, member.incarnation.value, member.present,
                            member.report ? member.report->disk.value : 0,
                            table_.disks.contains(name) ? table_.disks.at(name).value : 0);
    }
    return text;
}

}  // namespace tideline::replication
