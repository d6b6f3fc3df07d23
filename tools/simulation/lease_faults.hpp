// Injects random faults into simulated planners and members.
#pragma once

#include <functional>
#include <string>

#include "simulation/lease_driver.hpp"

namespace tideline::simulation {

// Injects faults at random times until the end of the fault phase and repairs each of them later.
// The driver must outlive this object, and this object the events that it schedules.
class LeaseFaults {
  public:
    // No fault is injected after the virtual time `end`.
    LeaseFaults(LeaseDriver& driver, double end, bool verbose);
    // Injects one fault and schedules the next.
    void inject();

  private:
    void log(const std::string& text) const;
    void log_and_call_at(double when, std::string text, std::function<void()> call);
    int draw_member();
    void readmit_wiped_planner();

    void kill_planner(int planner, double until);
    void pause_leader(double until);
    void pause_holder(double until);
    void cut_connection(int from, int to, double until);
    void split_network(double until);
    void slow_node(int node, double until);
    void kill_member(int member, double until);
    void release_twice();
    void wipe_planner(int planner);
    void revoke_lease();
    void toggle_wanted(int member);
    void slow_disk_then_kill(int planner, double until);
    void restart_planners_in_turn();

    LeaseDriver& driver_;
    PlannerWorld& world_;
    const double start_;
    const double end_;
    const bool verbose_;
    int wiped_planner_ = -1;  // planner with a wiped disk that is not a voter yet; -1: none
};

}  // namespace tideline::simulation
