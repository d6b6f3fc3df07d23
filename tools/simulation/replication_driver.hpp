// Drives simulated members that replicate for each other in virtual time.
#pragma once

#include <cstdint>
#include <vector>

#include "replication_world/world.hpp"
#include "simulation/driver.hpp"
#include "simulation/replication_simulation.hpp"

namespace tideline::simulation {

// A driver that also simulates the membership, the lease of the repair coordinator and the clients.
class ReplicationDriver : public Driver<ReplicationWorld> {
  public:
    ReplicationDriver(const ReplicationSimulationOptions& options, std::uint32_t seed);

    // Schedules the membership, the lease and, 6 s later, the requests of the clients.
    void start();
    // Returns the virtual time since start(), in seconds.
    double elapsed() const {
        return now() - start_;
    }
    int draw_member() {
        return draw_below(members_);
    }
    // Makes the clients submit no further requests.
    void end_requests() {
        requests_ended_at_ = now();
    }
    // Returns the member that has the lease of the repair coordinator; -1 if none has had it yet.
    int repair_coordinator() const {
        return repair_coordinator_;
    }
    // Returns the member with the most replicas, except the repair coordinator.
    int fullest_member() const;
    // Returns whether all shards have all their replicas at members that are up.
    bool is_replicated_on_live_members() const;

    std::uint64_t submitted = 0;   // requests
    std::uint64_t lost_disks = 0;  // disks that were wiped or corrupted

  private:
    double& last_heard(int by, int of) {
        const auto row = static_cast<std::size_t>(by) * static_cast<std::size_t>(members_);
        return last_heard_[row + static_cast<std::size_t>(of)];
    }
    void update_membership();
    void update_membership_of(int member);
    void log_table();
    void update_lease();
    bool is_coordinator_reachable() const;
    void drive_clients();
    void submit_request();

    const ReplicationSimulationOptions options_;
    const int members_;
    double start_ = 0;
    double coordinator_last_reachable_ = -10;
    double requests_ended_at_ = 0;  // 0: not ended
    int repair_coordinator_ = -1;
    std::vector<double> last_heard_;                // [by][of]
    std::vector<std::uint64_t> recent_operations_;  // operations that clients may repeat
    std::uint64_t last_operation_ = 0;
    replication::TableVersion logged_version_;
};

}  // namespace tideline::simulation
