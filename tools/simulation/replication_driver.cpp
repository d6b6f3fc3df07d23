#include "simulation/replication_driver.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

namespace tideline::simulation {
namespace {

// In seconds of virtual time.
constexpr double kMembershipInterval = 0.2;
constexpr double kGoneTimeout = 1.2;
constexpr double kPollInterval = 3;  // mean interval of the table requests of each member
constexpr double kLeaseInterval = 0.3;

constexpr std::size_t kMaxRecentOperations = 40;

ReplicationWorldSettings world_settings(const ReplicationSimulationOptions& options) {
    ReplicationWorldSettings settings;
    settings.members = options.members;
    settings.places = std::max(options.replicas, options.members / 2);
    settings.replication = options.replication;
    settings.replica.time_to_live = 1000;
    settings.replica.comparison_interval = 5;
    settings.repair_coordinator.shards = static_cast<std::size_t>(options.shards);
    settings.repair_coordinator.replicas = settings.repair_coordinator.min_replicas =
        static_cast<std::size_t>(options.replicas);
    if (options.min_replicas > 0) {
        settings.repair_coordinator.min_replicas = static_cast<std::size_t>(options.min_replicas);
    }
    settings.repair_coordinator.absence_limit = 3;
    settings.repair_coordinator.cooldown = 3;
    settings.repair_coordinator.report_interval = 0.3;
    settings.repair_coordinator.max_moves = 4;
    return settings;
}

int index_of(const Name& name) {
    return std::stoi(name.value.substr(1)) - 1;
}

}  // namespace

ReplicationDriver::ReplicationDriver(const ReplicationSimulationOptions& options,
                                     std::uint32_t seed)
    : Driver<ReplicationWorld>(world_settings(options), seed),
      options_(options),
      members_(options.members),
      last_heard_(static_cast<std::size_t>(members_) * static_cast<std::size_t>(members_), 0) {}

void ReplicationDriver::start() {
    start_ = now();
    schedule(start_, [this] { update_membership(); });
    schedule(start_ + 0.1, [this] { update_lease(); });
    schedule(start_ + 6, [this] { drive_clients(); });
}

int ReplicationDriver::fullest_member() const {
    std::map<Name, int> counts;
    for (const replication::ReplicaSet& replica_set : world.agreed().shards) {
        for (const Name& each : replica_set.replicas) {
            counts[each] += each != ReplicationWorld::name_of(repair_coordinator_);
        }
    }
    const auto fullest =
        std::max_element(counts.begin(), counts.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return index_of(fullest->first);
}

bool ReplicationDriver::is_replicated_on_live_members() const {
    for (const replication::ReplicaSet& replica_set : world.agreed().shards) {
        if (replica_set.replicas.size() < world.agreed().replication_factor ||
            !replica_set.catching_up.empty()) {
            return false;
        }
        for (const Name& each : replica_set.replicas) {
            if (!world.up(index_of(each))) {
                return false;
            }
        }
    }
    return true;
}

void ReplicationDriver::update_membership() {
    for (int i = 0; i < members_; ++i) {
        if (world.up(i) && !is_paused(i)) {
            update_membership_of(i);
        }
    }
    flush();
    if (options_.verbose && logged_version_ != world.agreed().version) {
        log_table();
    }
    schedule(now() + kMembershipInterval, [this] { update_membership(); });
}

void ReplicationDriver::update_membership_of(int member) {
    if (draw(0, 1) < kMembershipInterval / kPollInterval) {
        world.request_table(member);
    }
    for (int other = 0; other < members_; ++other) {
        const bool reachable =
            member == other || (world.up(other) && !is_paused(other) && !is_cut(member, other) &&
                                !is_cut(other, member));
        if (reachable) {
            last_heard(member, other) = now();
        }
        world.notify_membership(member, other, now() > last_heard(member, other) + kGoneTimeout);
    }
}

void ReplicationDriver::log_table() {
    logged_version_ = world.agreed().version;
    std::string text;
    for (std::size_t i = 0; i < world.agreed().shards.size(); ++i) {
        const replication::ReplicaSet& replica_set = world.agreed().shards[i];
        text += fmt::format(" {}:", i);
        for (const Name& each : replica_set.replicas) {
            text += each.value;
        }
        for (const Name& each : replica_set.catching_up) {
            text += "+" + each.value;
        }
    }
    fmt::print("{:8.3f} table {}, repair coordinator n{}:{}\n", elapsed(), logged_version_.value,
               repair_coordinator_ + 1, text);
}

bool ReplicationDriver::is_coordinator_reachable() const {
    return repair_coordinator_ >= 0 && world.up(repair_coordinator_) &&
           !is_paused(repair_coordinator_) && !is_cut(repair_coordinator_, members_) &&
           !is_cut(members_, repair_coordinator_);
}

// The lease goes to another member once its holder has been unreachable for 1 s. The previous
// holder may believe for up to 3 s longer that it has the lease.
void ReplicationDriver::update_lease() {
    if (is_coordinator_reachable()) {
        coordinator_last_reachable_ = now();
        world.set_holds_lease(repair_coordinator_, true);
    } else if (now() > coordinator_last_reachable_ + 1) {
        if (repair_coordinator_ >= 0) {
            const int previous_holder = repair_coordinator_;
            schedule(now() + draw(0, 3), [this, previous_holder] {
                if (previous_holder != repair_coordinator_) {
                    world.set_holds_lease(previous_holder, false);
                }
            });
        }
        repair_coordinator_ = draw_member();
    }
    flush();
    schedule(now() + kLeaseInterval, [this] { update_lease(); });
}

// Submits a request, and executes or loses some of the attempts in flight.
void ReplicationDriver::drive_clients() {
    if (requests_ended_at_ == 0) {
        submit_request();
    }
    for (std::size_t i = world.attempts_in_flight().size(); i-- > 0;) {
        const double fate = draw(0, 1);
        if (fate < 0.25) {
            world.run_attempt(i);
        } else if (fate < 0.29) {
            world.lose_attempt(i, draw(0, 1) < 0.5);
        }
    }
    flush();
    schedule(now() + draw(0.15, 1.85) / options_.requests_per_second, [this] { drive_clients(); });
}

// Half of the requests repeat a recent operation.
void ReplicationDriver::submit_request() {
    const bool repeats = !recent_operations_.empty() && draw(0, 1) < 0.5;
    std::uint64_t operation = 0;
    if (repeats) {
        const int index = draw_below(static_cast<int>(recent_operations_.size()));
        operation = recent_operations_[static_cast<std::size_t>(index)];
    } else {
        operation = ++last_operation_;
        recent_operations_.push_back(operation);
    }
    if (recent_operations_.size() > kMaxRecentOperations) {
        recent_operations_.erase(recent_operations_.begin());
    }
    const int member = draw_member();
    if (!is_paused(member)) {
        submitted +=
            world.submit(member, operation, operation % 2 == 0, now() + draw(0.2, 2.5)) ? 1 : 0;
    }
}

}  // namespace tideline::simulation
