// Planners and lease holders of a fault test: real processes, the relay between them, a target that
// records each action with its fencing token, and faults of disks and clocks.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/process.hpp"
#include "fakes/server.hpp"
#include "fault_tests/network_relay.hpp"
#include "fault_tests/schedule.hpp"
#include "planner/planner_query.hpp"

namespace tideline::fault_tests {

struct PlannerClusterOptions {
    std::string program = "build/tideline";
    std::string holder = "build/tideline_lease_holder";
    std::string faulty_disk = "build/libtideline_faulty_disk.so";
    int planners = 5;
    int holders = 6;
    std::uint32_t seed = 1;
    bool keep_folder = false;
    bool bypass_relay = false;  // connect without the relay: for measurements
    int first_host = 0;         // node 1 is at the host after this one
};

// Times of leases and of Raft, in seconds; short, so that a test is.
constexpr Seconds kLeaseDuration = 1;
constexpr Seconds kClaimTimeout = 0.3;
constexpr Seconds kHeartbeatInterval = 0.05;
constexpr Seconds kMinElectionTimeout = 0.25;
constexpr Seconds kMaxElectionTimeout = 0.5;
constexpr double kMaxClockDrift = 0.01;

// An action of a lease holder, as the target received it.
struct TaskAction {
    Seconds arrived_at = 0;  // at the target
    std::string holder;
    std::uint64_t fencing_token = 0;
    // The holder's guard allowed it between these times of a clock that all processes share.
    Seconds checked_after = 0;
    Seconds checked_before = 0;
    bool accepted = false;  // the target took it; false: a higher token was known
};

// Nodes count from 1: the planners, then the holders. Used on the thread of the event loop, which
// must outlive it.
class PlannerCluster {
  public:
    PlannerCluster(net::EventLoop& loop, const PlannerClusterOptions& options);
    ~PlannerCluster();
    // Kills all nodes and waits for their ends: nobody writes to the folder afterwards.
    void end_processes();
    void begin();  // founds the cluster, starts all; throws where that does not come about
    void apply(const Event& event);
    void run(Seconds duration);
    bool run_until(Seconds timeout, const std::function<bool()>& predicate);
    void start(int node, bool founds_cluster = false);
    // One question to one planner, past the relay; nothing where no answer came within a second.
    std::optional<wire::LeaseAnswer> send_request(int planner, const wire::LeaseAsk& request);
    std::optional<wire::PlannerTable> table(int planner);
    int leader();       // 0: none that answers
    bool is_healthy();  // all planners vote, and one leads
    // One holder has the lease of the task and all others wait for it, so that whoever loses it has
    // a successor.
    bool all_holders_wait();
    std::string log_of(int node) const;
    std::string folder_of(int planner) const;
    std::string name_of(int node) const;
    int node_of(const std::string& name) const;
    double cpu_of(int node) const;  // s
    bool is_planner(int node) const {
        return node <= options.planners;
    }
    int host_of(int node) const {
        return options.first_host + node;
    }                                            // also its number at the relay
    std::vector<std::string> addresses() const;  // of the planners, as they are dialled

    net::EventLoop& loop;
    const PlannerClusterOptions options;
    std::string folder;
    NetworkRelay relay;
    std::vector<std::unique_ptr<fakes::Process>> processes;  // [0] is not used
    std::vector<TaskAction> actions;
    std::vector<std::pair<int, int>> ended;  // planners that ended by themselves, with their status

  private:
    class TargetConnection;
    void record_action(const std::string& line);
    std::string planner_config_of(int planner) const;
    // Each applies the actions of its subject; false where the action is of another.
    bool apply_to_process(const Event& event);
    bool apply_to_links(const Event& event);
    void apply_as_operator(const Event& event);
    void set_disk_fault(int node, int fault);  // as in a schedule's disk; 0: none
    fakes::Server<TargetConnection, PlannerCluster> target_;
    std::uint64_t highest_token_ = 0;  // that the target has seen
    std::vector<bool> stopped_;
    int drawn_ = 0;
};

// Each rule that did not hold in the whole record, as a line; empty where all held.
std::vector<std::string> violations_of(const PlannerCluster& cluster);

// Faults drawn from a seed, over `length` seconds.
std::vector<Event> random_planner_schedule(std::uint32_t seed, int planners, int holders,
                                           Seconds length);

}  // namespace tideline::fault_tests
