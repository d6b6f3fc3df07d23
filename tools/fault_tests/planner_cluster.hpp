// The planners and lease holders of a fault test: real processes with the relay between them, a
// target that records each action with its fencing token, and faults of disks and clocks.
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
    std::string holder_program = "build/tideline_lease_holder";
    std::string faulty_disk_library = "build/libtideline_faulty_disk.so";
    int planners = 5;
    int holders = 6;
    std::uint32_t seed = 1;
    bool keep_folder = false;
    bool bypass_relay = false;  // for measurements: connect without the relay
    int first_host = 0;         // node i listens on host first_host + i
};

// The settings of leases and of Raft in these tests, short so that the tests are short.
constexpr Seconds kLeaseDuration = 1;
constexpr Seconds kClaimTimeout = 0.3;
constexpr Seconds kHeartbeatInterval = 0.05;
constexpr Seconds kMinElectionTimeout = 0.25;
constexpr Seconds kMaxElectionTimeout = 0.5;
constexpr double kMaxClockDrift = 0.01;

// An action of a lease holder as the target received it.
struct TaskAction {
    Seconds arrived_at = 0;  // when the target received it
    std::string holder;
    std::uint64_t fencing_token = 0;
    // The guard allowed the action between these two times of CLOCK_BOOTTIME, which all
    // processes share.
    Seconds checked_after = 0;
    Seconds checked_before = 0;
    // False if the target rejected the action because it had seen a higher token.
    bool accepted = false;
};

// Nodes are numbered from 1: first the planners, then the holders. Must be used on the thread of
// the event loop, which must outlive the cluster.
class PlannerCluster {
  public:
    PlannerCluster(net::EventLoop& loop, const PlannerClusterOptions& options);
    ~PlannerCluster();
    // Kills all nodes and waits until they have exited, so that none writes to the folder
    // afterwards.
    void end_processes();
    // Starts all nodes; the first planner founds the cluster. Throws std::runtime_error if the
    // cluster has no leader or the lease has no holder in time.
    void begin();
    // Applies an event of a schedule now; the event's time is ignored.
    void apply(const Event& event);
    // Runs the event loop.
    void run(Seconds duration);
    // Runs the event loop until the predicate holds; returns false if it does not within `timeout`.
    bool run_until(Seconds timeout, const std::function<bool()>& predicate);
    // Starts the process of a node, unless it runs.
    void start(int node, bool founds_cluster = false);
    // Sends a request to one planner without the relay. Returns nothing if no answer came within a
    // second.
    std::optional<wire::LeaseAnswer> send_request(int planner, const wire::LeaseAsk& request);
    // Returns the lease table that a planner knows; nothing if the planner does not run, does not
    // answer or has a stale table.
    std::optional<wire::PlannerTable> table(int planner);
    int leader();       // the node that leads; 0 if no planner answers
    bool is_healthy();  // whether all planners vote and one of them leads
    // Whether one holder has the lease of the task and all others wait for it, so that there is a
    // successor.
    bool all_holders_wait();
    std::string log_of(int node) const;
    std::string folder_of(int planner) const;
    std::string name_of(int node) const;
    // Returns the number of the node with this name; 0 for an empty name.
    int node_of(const std::string& name) const;
    double cpu_of(int node) const;  // CPU time in seconds
    bool is_planner(int node) const {
        return node <= options.planners;
    }
    // The host part of the node's address, which is also its number at the relay.
    int host_of(int node) const {
        return options.first_host + node;
    }
    std::vector<std::string> addresses() const;  // the planners' addresses at the relay

    net::EventLoop& loop;
    const PlannerClusterOptions options;
    std::string folder;
    NetworkRelay relay;
    std::vector<std::unique_ptr<fakes::Process>> processes;  // index 0 is not used
    std::vector<TaskAction> actions;
    // Planners that exited by themselves, with their exit status.
    std::vector<std::pair<int, int>> ended;

  private:
    class TargetConnection;
    // Parses a line "<holder> <token> <checked after> <checked before>" and records the action.
    void record_action(const std::string& line);
    std::string planner_config_of(int planner) const;
    // Each applies the events of its subject, and returns false for other events.
    bool apply_to_process(const Event& event);
    bool apply_to_links(const Event& event);
    // Sends the operator's requests "admit" and "take-away" to the leader; ignores other events.
    void apply_as_operator(const Event& event);
    // DiskFault::none removes the fault.
    void set_disk_fault(int node, DiskFault fault);
    fakes::Server<TargetConnection, PlannerCluster> target_;
    std::uint64_t highest_token_ = 0;  // the highest token that the target has seen
    std::vector<bool> stopped_;
    int drawn_ = 0;
};

// Checks the complete record. Returns one line for each violated rule; empty if none was violated.
std::vector<std::string> violations_of(const PlannerCluster& cluster);

// Generates random faults from a seed over `length` seconds.
std::vector<Event> random_planner_schedule(std::uint32_t seed, int planners, int holders,
                                           Seconds length);

}  // namespace tideline::fault_tests
