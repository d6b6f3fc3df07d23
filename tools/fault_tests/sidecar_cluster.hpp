// The sidecars of a fault test: real processes, each with its own clients and its own listeners of
// the fake discovery and release platform, the relay between them, endpoints that record requests,
// and the record for the check.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/member_query.hpp"
#include "fakes/fake_clients.hpp"
#include "fakes/fake_discovery.hpp"
#include "fakes/fake_endpoint.hpp"
#include "fakes/fake_release_platform.hpp"
#include "fakes/process.hpp"
#include "fault_tests/network_relay.hpp"
#include "fault_tests/schedule.hpp"

namespace tideline::fault_tests {

struct SidecarClusterOptions {
    std::string program = "build/tideline";
    int members = 12;
    std::uint32_t seed = 1;
    double rate = 15;                   // requests per second for each member
    bool without_cluster = false;       // run sidecars without cluster membership
    int small_frames_member = 0;        // this member accepts frames of up to 16 KB only; 0: none
    int draining_entries = 0;           // additional entries that make the endpoint list long
    bool keep_folder = false;           // the folder is not removed at the end
    std::vector<std::string> planners;  // the planners' addresses; empty: no leased tasks
    // The slow-start time, in seconds, of endpoints that are added later; 0: no slow start.
    double warm_up = 0;
    // The number of replicas of a record; 0: no replication.
    int replicas = 0;
    // The minimum number for an acknowledged write; 0: the same as `replicas`.
    int min_replicas = 0;
    // The maximum rate of repairs, in bytes per second.
    double repair_rate = 2e6;
    double scrub_interval = 3600;  // in seconds
    // How long a record is kept, in seconds.
    double time_to_live = 60;
    // Whether a member may serve charges without replicas instead of throttling them.
    bool allow_unreplicated = false;
    bool group_commit = true;
    std::string faulty_disk_library;  // the library with disk faults (faulty_disk.cpp); empty: none
};

// The settings of the members in these tests, short so that the tests are short.
constexpr Seconds kProbeInterval = 0.2;
// A started process listens within this time, even on a loaded machine.
constexpr Seconds kStartTimeout = 20;
// A restarted process listens within this time: the operators' limit for nine in ten restarts.
constexpr Seconds kMaxRestartTime = 10;
// A process that listens serves requests from this time after its start or resumption.
constexpr Seconds kServiceStartTimeout = 1;
constexpr Seconds kLagGracePeriod = 1;
constexpr Seconds kExclusionDelay = 1.5;
constexpr Seconds kUncertaintyDelay = 2.5;
constexpr double kMaxExcludedShare = 0.25;
constexpr int kTrialBuild = 42;
constexpr int kEndpointPort = 5432;

constexpr Seconds kFarFuture = 1e18;

// A time interval. While it lasts, `to` is kFarFuture.
struct Interval {
    Seconds from = 0;
    Seconds to = kFarFuture;
    bool contains(Seconds at) const {
        return at >= from && at < to;
    }
};
// While a member's process ran and was not stopped. The process listens from `listening_from`.
struct UpInterval : Interval {
    Seconds listening_from = kFarFuture;
    bool listens() const {
        return listening_from < kFarFuture;
    }
    // Whether the member has to answer a request that waits from `begin` to `end`.
    bool serves(Seconds begin, Seconds end) const {
        return begin >= std::max(from + kServiceStartTimeout, listening_from) && end < to;
    }
};
// The state of one member in an audit.
struct AuditRow {
    std::string state;
    std::string fault;
    std::uint64_t incarnation = 0;
    int trial_participation = 0;
};
// The answer of one member to an audit query, sent at `from` and answered at `to`.
struct Audit {
    Seconds from = 0;
    Seconds to = 0;
    int queried_member = 0;
    bool complete = false;
    std::map<int, AuditRow> rows;
};

// Members are numbered from 1. Must be used on the thread of the event loop, which must outlive the
// cluster.
class SidecarCluster {
  public:
    SidecarCluster(net::EventLoop& loop, const SidecarClusterOptions& options);
    ~SidecarCluster();
    // Starts all members and their clients. Throws std::runtime_error if a member does not start.
    void begin();
    // Kills all members and waits until they have exited, so that none writes to the folder
    // afterwards.
    void end_processes();
    // Applies an event of a schedule now; the event's time is ignored.
    void apply(const Event& event);
    // Whether the log of the process that was started last says that it listens.
    bool is_listening(int member) const;
    bool all_listen() const;
    // Returns the interval in which the member had to answer a request that waited from `from` to
    // `to`; null if it did not have to.
    const UpInterval* serving_interval(int member, Seconds from, Seconds to) const;
    // Waits until all members that run listen. Returns one line for each restarted process that did
    // not listen within kMaxRestartTime.
    std::vector<std::string> slow_starts();
    void run(Seconds duration);  // runs the event loop
    // Runs the event loop until the predicate holds; returns false if it does not within `timeout`.
    bool run_until(Seconds timeout, const std::function<bool()>& predicate);
    // Sends an audit query to one member after the other from now on, at intervals of 0.25 s.
    void start_audits();
    // Whether the audit is complete and shows all members as current, without faults.
    bool all_current(const Audit& audit) const;
    const Audit* newest_audit() const {
        return audits.empty() ? nullptr : &audits.back();
    }
    std::string log_of(int member) const;
    std::string folder_of(int member) const;  // the folder with the member's stored data
    long memory_of(int member) const;         // resident memory in KB
    double cpu_of(int member) const;          // CPU time in seconds
    std::size_t descriptors_of(int member) const;

    struct Member {
        std::unique_ptr<fakes::Process> process = std::make_unique<fakes::Process>();
        std::unique_ptr<fakes::FakeClients> clients;
        std::vector<UpInterval> up_intervals;
        std::size_t log_size_at_start = 0;  // bytes that earlier processes had logged
        // When discovery and release platform sent the member no changes.
        std::vector<Interval> muted_intervals;
        int discovery_listener = -1;
        int platform_listener = -1;
        bool stopped = false;
        // Whether the member was sent SIGTERM and not started since.
        bool is_terminating = false;
    };
    net::EventLoop& loop;
    const SidecarClusterOptions options;
    Seconds start = 0;
    std::string folder;
    fakes::FakeDiscovery discovery;
    fakes::FakeReleasePlatform platform;
    std::vector<std::unique_ptr<fakes::FakeEndpoint>> endpoints;
    fakes::Effects effects;
    std::vector<Member> members;  // index 0 is not used
    NetworkRelay relay;
    std::vector<Audit> audits;
    // The caps of the trial build with the times from which they hold.
    std::vector<std::pair<Seconds, double>> caps;
    std::map<NetworkRelay::Direction, std::vector<Interval>> cuts;

  private:
    void start_member(int member);
    // The path of the member's files without their extension.
    std::string path_of(int member) const;
    nlohmann::json settings_of(int member) const;
    std::string cluster_config_of(int member) const;
    // The groups "planners" and "copies" of the operator file; empty if the test has none.
    std::string planners_config() const;
    std::string replication_config() const;
    void mark_down(int member);
    void mark_up(int member);
    // Records for each member that runs from when it listens. Returns whether one does not listen
    // yet.
    bool record_listening();
    // Records at short intervals until all members that run listen.
    void follow_starts();
    bool stop(int member);    // returns false if it does not run
    bool resume(int member);  // returns false if it was not stopped or has exited
    void terminate(int member);
    // Each applies the events of its subject. Returns false for other events, and if nothing
    // changed.
    bool apply_to_process(const Event& event);
    bool apply_to_links(const Event& event);
    bool apply_to_inputs(const Event& event);
    bool drain_endpoint();  // returns false if too few are ready
    void mute(int member, bool muted);
    void cut(int from, int to);
    void heal(int from, int to);
    void add_endpoint(int build);
    void request_audit(int member);
    net::Timers::Id audit_timer_ = net::Timers::kNone;
    net::Timers::Id listening_timer_ = net::Timers::kNone;
    std::map<int, std::unique_ptr<cluster::MembersQuery>> queries_;
    std::vector<std::string> ready_;  // IDs of the endpoints that are listed as ready
    int last_audited_ = 0;
};

}  // namespace tideline::fault_tests
