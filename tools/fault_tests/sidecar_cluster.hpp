// The sidecars of a fault test: real processes, each with its own listeners of discovery and
// release platform and its own clients, the relay between them, endpoints that record requests; and
// the record for the check.
#pragma once

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
    double rate = 15;                   // requests a second and member
    bool without_cluster = false;       // sidecars that know nothing of each other
    int small_frames_member = 0;        // this member takes frames up to 16 KB only; 0: none
    int draining_entries = 0;           // in the endpoint list, to make it long
    bool keep_folder = false;           // do not remove it at the end
    std::vector<std::string> planners;  // their addresses; empty: no leased tasks
    double warm_up = 0;                 // s: endpoints added later warm up for so long; 0: none do
    // 0 replicas: no replication; min_replicas 0: as many as replicas
    int replicas = 0;
    int min_replicas = 0;
    // bytes a second; s
    double repair_rate = 2e6;
    double scrub_interval = 3600;
    double time_to_live = 60;  // s, of a record
    bool allow_unreplicated = false;
    bool group_commit = true;
    std::string faulty_disk;  // library with disk faults (faulty_disk.cpp); empty: none
};

// Times of the members in seconds; short, so that a test is.
constexpr Seconds kProbeInterval = 0.2;
// A process that was started listens within that time, also on a loaded machine.
constexpr Seconds kStartTimeout = 20;
constexpr Seconds kLagGracePeriod = 1;
constexpr Seconds kExclusionDelay = 1.5;
constexpr Seconds kUncertaintyDelay = 2.5;
constexpr double kMaxExcludedShare = 0.25;
constexpr int kTrialBuild = 42;
constexpr int kEndpointPort = 5432;

// From one time to another; without an end it has not ended.
struct Interval {
    Seconds from = 0;
    Seconds to = 1e18;
    bool contains(Seconds at) const {
        return at >= from && at < to;
    }
};
// What an audit shows of one member.
struct AuditRow {
    std::string state;
    std::string fault;
    std::uint64_t incarnation = 0;
    int trial_participation = 0;
};
// The answer of one member to an audit, asked for and answered between two times.
struct Audit {
    Seconds from = 0;
    Seconds to = 0;
    int asked_member = 0;
    bool complete = false;
    std::map<int, AuditRow> rows;
};

// Members count from 1. Used on the thread of the event loop, which must outlive it.
class SidecarCluster {
  public:
    SidecarCluster(net::EventLoop& loop, const SidecarClusterOptions& options);
    ~SidecarCluster();
    // Starts all members and their clients; throws std::runtime_error where one does not run.
    void begin();
    // Kills all members and waits for their ends: nobody writes to the folder afterwards.
    void end_processes();
    // An event of a schedule, now.
    void apply(const Event& event);
    // Whether the sidecar's log says that it listens; of a sidecar that was restarted, whether it
    // ever did.
    bool is_listening(int member) const;
    bool all_listen() const;
    void run(Seconds duration);  // the loop
    bool run_until(Seconds timeout, const std::function<bool()>& predicate);
    // From now on audits one member after the other, a quarter of a second apart.
    void start_audits();
    bool all_current(const Audit& audit) const;
    const Audit* newest_audit() const {
        return audits.empty() ? nullptr : &audits.back();
    }
    std::string log_of(int member) const;
    std::string folder_of(int member) const;  // its disk
    long memory_of(int member) const;         // KB resident
    double cpu_of(int member) const;          // s
    std::size_t descriptors_of(int member) const;

    struct Member {
        std::unique_ptr<fakes::Process> process = std::make_unique<fakes::Process>();
        std::unique_ptr<fakes::FakeClients> clients;
        std::vector<Interval> up_intervals;  // the process runs, and is not stopped
        std::vector<Interval> muted_intervals;
        int discovery_listener = -1;
        int platform_listener = -1;
        bool stopped = false;
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
    std::vector<Member> members;  // [0] is not used
    NetworkRelay relay;
    std::vector<Audit> audits;
    std::vector<std::pair<Seconds, double>> caps;  // of the trial build, with their times
    std::map<NetworkRelay::Direction, std::vector<Interval>> cuts;

  private:
    void start_member(int member);
    std::string path_of(int member) const;  // of its files, without their ending
    nlohmann::json settings_of(int member) const;
    std::string cluster_config_of(int member) const;
    std::string planners_config() const;     // the group of the operator file; empty: none
    std::string replication_config() const;  // likewise
    void mark_down(int member);
    void mark_up(int member);
    bool stop(int member);    // false: does not run
    bool resume(int member);  // false: was not stopped, or has ended
    void terminate(int member);
    // Each applies the actions of its subject; false where nothing was changed.
    bool apply_to_process(const Event& event);
    bool apply_to_links(const Event& event);
    bool apply_to_inputs(const Event& event);
    bool drain_endpoint();  // false: too few are ready
    void mute(int member, bool muted);
    void cut(int from, int to);
    void heal(int from, int to);
    void add_endpoint(int build);
    void request_audit(int by);
    net::Timers::Id audit_timer_ = net::Timers::kNone;
    std::map<int, std::unique_ptr<cluster::MembersQuery>> queries_;
    std::vector<std::string> ready_;  // ids of endpoints that are listed as ready
    int last_audited_ = 0;
};

}  // namespace tideline::fault_tests
