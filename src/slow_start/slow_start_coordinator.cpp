#include "slow_start/slow_start_coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tideline::slow_start {
namespace {

// The limit as a share of the load that would overload an endpoint, as in each sidecar's own limit.
constexpr double kSafetyFactor = 0.6;
// An allocation is valid for this many intervals. After that only the member's own limit applies.
constexpr double kValidIntervals = 4;
// A member whose last report is older counts as sending nothing.
constexpr Seconds kMaxReportAge = 5;
// The remaining attempts start with another member after this many ticks.
constexpr std::size_t kTicksPerTurn = 4;

}  // namespace

double SlowStartCoordinator::capacity(Seconds now, const Endpoint& endpoint) const {
    const double age = std::clamp((now - endpoint.started) / settings_.warm_up_time, 0.0, 1.0);
    return settings_.cold_share + (1 - settings_.cold_share) * age;
}
double SlowStartCoordinator::endpoint_limit(Seconds now, const EndpointId& id) const {
    const auto endpoint = endpoints_.find(id);
    if (endpoint == endpoints_.end() || ready_endpoints_ == 0) {
        return 0;
    }
    const double even_share = total_recent_attempts() / static_cast<double>(ready_endpoints_);
    return kSafetyFactor * settings_.overload_multiple * capacity(now, endpoint->second) *
           even_share;
}
double SlowStartCoordinator::total_recent_attempts() const {
    double total = 0;
    for (const auto& [name, load] : members_) {
        total += load.recent_attempts;
    }
    return total;
}

void SlowStartCoordinator::lease_acquired(Seconds now) {
    holds_lease_ = true;
    next_allocation_ = now;
    // The allocations of the former lease holder are not known. They expire by themselves.
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.allocations.clear();
    }
    members_.clear();
}
void SlowStartCoordinator::receive_recent_attempts(Seconds now, const Name& member,
                                                   double recent_attempts) {
    members_[member] = {std::max(0.0, recent_attempts), now};
}
Seconds SlowStartCoordinator::due() const {
    return holds_lease_ && !endpoints_.empty() ? next_allocation_
                                               : std::numeric_limits<double>::infinity();
}
void SlowStartCoordinator::tick(Seconds now) {
    if (!holds_lease_ || now < next_allocation_) {
        return;
    }
    next_allocation_ = now + settings_.interval;
    std::erase_if(members_, [&](const auto& member) {
        return now > member.second.reported_at + kMaxReportAge;
    });
    std::erase_if(endpoints_, [&](const auto& endpoint) {
        return now > endpoint.second.started + settings_.warm_up_time;
    });
    ++tick_count_;
    for (auto& [id, endpoint] : endpoints_) {
        allocate_endpoint(now, id, endpoint);
    }
}

// While a share moves from one member to another, both could use it within the same window. So a
// lowered limit counts as in force for another window, and only attempts that are not in force
// elsewhere are allocated.
void SlowStartCoordinator::allocate_endpoint(Seconds now, const EndpointId& id,
                                             Endpoint& endpoint) {
    const double total_attempts = total_recent_attempts();
    if (total_attempts <= 0) {
        return end_allocations(now, id, endpoint);
    }
    const double limit = std::floor(endpoint_limit(now, id));
    const std::map<Name, double> targets = target_limits(limit, total_attempts);
    double in_force = lower_limits(now, targets, endpoint.allocations);
    for (const auto& [name, target] : targets) {
        Allocation& allocation = endpoint.allocations[name];
        if (target > allocation.limit) {
            // The clamp is needed because the endpoint's limit may have dropped since the limits in
            // force were allocated.
            const double others = in_force - allocation.in_force;
            const double raised = std::clamp(std::floor(limit - others), allocation.limit, target);
            in_force += std::max(0.0, raised - allocation.in_force);
            allocation.in_force = std::max(allocation.in_force, raised);
            allocation.limit = std::max(allocation.limit, raised);
        }
        host_.allocate(name, id, allocation.limit, kValidIntervals * settings_.interval);
    }
}

// Ends all allocations of the endpoint, since no shares can be computed without recent attempts.
// Then only each member's own limit applies.
void SlowStartCoordinator::end_allocations(Seconds now, const EndpointId& id, Endpoint& endpoint) {
    for (auto& [name, allocation] : endpoint.allocations) {
        host_.allocate(name, id, 0, 0);
        if (allocation.limit > 0) {
            allocation.limit = 0;
            allocation.lowered_at = now;
        }
    }
}

// Returns the limits that the members should have: whole attempts in proportion to what each member
// sends. The remaining attempts go to the members one by one, starting with a different member
// every few ticks.
std::map<Name, double> SlowStartCoordinator::target_limits(double endpoint_limit,
                                                           double total_attempts) const {
    std::map<Name, double> targets;
    std::vector<Name> names;
    double allocated = 0;
    for (const auto& [name, load] : members_) {
        const double target = std::floor(endpoint_limit * load.recent_attempts / total_attempts);
        targets[name] = target;
        allocated += target;
        names.push_back(name);
    }
    for (std::size_t i = 0; allocated < endpoint_limit && i < names.size(); ++i, ++allocated) {
        ++targets[names[(tick_count_ / kTicksPerTurn + i) % names.size()]];
    }
    return targets;
}

// Lowers the limits that are above their targets, and returns the sum of the limits in force.
double SlowStartCoordinator::lower_limits(Seconds now, const std::map<Name, double>& targets,
                                          Allocations& allocations) const {
    double in_force = 0;
    for (auto& [name, allocation] : allocations) {
        if (now >= allocation.lowered_at + settings_.window) {
            allocation.in_force = allocation.limit;
        }
        const auto found = targets.find(name);
        const double target = found == targets.end() ? 0 : found->second;
        if (target < allocation.limit) {
            allocation.limit = target;
            allocation.lowered_at = now;
        }
        in_force += allocation.in_force;
    }
    return in_force;
}

}  // namespace tideline::slow_start
