// Injects random faults into simulated members that replicate for each other.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation/replication_driver.hpp"

namespace tideline::simulation {

// Injects faults at random times until the end of the fault phase and repairs each of them later.
// The driver must outlive this object, and this object the events that it schedules.
class ReplicationFaults {
  public:
    // No fault is injected later than `end` seconds after the start of the driver.
    ReplicationFaults(ReplicationDriver& driver, const ReplicationSimulationOptions& options,
                      double end);
    // Injects one fault and schedules the next.
    void inject();

  private:
    void log(const std::string& text) const;
    void log_and_call_at(double when, std::string text, std::function<void()> call);

    void kill_member(int member, double until);
    void lose_machines();
    std::vector<int> draw_lost_machines();
    void pause_member(int member, double until);
    void cut_connection(int from, int to, double until);
    void split_network(double until);
    void slow_member(int member, double until);
    void slow_disk_then_kill(int member, double until);
    void corrupt_disk(int member);
    void restart_all_in_turn();

    ReplicationDriver& driver_;
    ReplicationWorld& world_;
    const ReplicationSimulationOptions options_;
    const double end_;
};

}  // namespace tideline::simulation
