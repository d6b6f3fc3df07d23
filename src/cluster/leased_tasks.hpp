// Tasks that one member performs for the whole cluster while it holds their lease: the fleet audit,
// the slow-start allocation and the coordination of repairs. Also handles what other members
// receive from the lease holder. Connects the cores to the planners and to the cluster; makes no
// decisions itself. Used on the thread of the event loop.
#pragma once

#include "audit/fleet_audit.hpp"
#include "cluster/cluster_config.hpp"
#include "cluster/planner_client.hpp"
#include "lease/fencing_check.hpp"
#include "policy/samples.hpp"
#include "slow_start/slow_start_coordinator.hpp"

namespace tideline::cluster {

class LeasedTasks : PlannerClient::Owner,
                    audit::FleetAuditHost,
                    slow_start::SlowStartCoordinatorHost {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void request_audit() = 0;  // answered by on_audit()
        // Returns the other members that are present.
        virtual std::vector<Name> present_members() const = 0;
        virtual void send_slow_start_limits(const Name& to, const wire::Paces& limits) = 0;
        // Sets the limit of this member itself.
        virtual void set_slow_start_limit(const EndpointId& endpoint, double max_attempts,
                                          Seconds valid) = 0;
        // Replication: the lease on the coordination of repairs, and the replica table that its
        // holders have written.
        virtual void on_repair_lease(bool held) = 0;
        virtual void on_replica_table_version(std::uint64_t number) = 0;
        virtual void on_replica_table_written(bool done) = 0;
        virtual void on_replica_table_read(std::uint64_t number, const std::string& bytes) = 0;
    };
    LeasedTasks(net::EventLoop& loop, net::Log& log, Owner& owner,
                const ClusterConfig& cluster_config, const Incarnation& incarnation,
                const slow_start::SlowStartSettings& settings);
    LeasedTasks(const LeasedTasks&) = delete;
    LeasedTasks& operator=(const LeasedTasks&) = delete;
    ~LeasedTasks() override;
    void begin();
    void leave();
    void endpoint_updated(const EndpointId& endpoint, bool ready, Seconds started);
    void set_ready_endpoint_count(std::size_t count);
    // Counts one attempt of this member.
    void add_attempt();
    void on_audit(const std::vector<wire::Row>& rows);
    // Handles limits from the lease holder. Returns false if their fencing token is older than the
    // newest one seen. Otherwise this member must report its recent attempts.
    bool receive_slow_start_limits(const Name& by, const wire::Paces& limits);
    // Replication: the replica table, and alarms.
    void write_table(std::uint64_t number, const std::string& bytes);
    void read_table();
    void set_replication_alarm(bool raised, const std::string& key, const std::string& text);
    const Name& repair_coordinator() const {
        return repair_coordinator_;
    }
    double recent_attempts() const;
    void receive_recent_attempts(const Name& by, double attempts);

  private:
    // PlannerClient::Owner
    void on_lease_acquired(const lease::LeaseName& lease, lease::FencingToken token) override;
    void on_lease_lost(const lease::LeaseName& lease, lease::FencingToken token) override;
    void on_alarm_committed(const lease::LeaseName& lease, const std::string& key, bool raised,
                            bool changed) override;
    void on_raised_alarms(const lease::LeaseName& lease,
                          const std::set<std::string>& keys) override;
    void on_holder_changed(const lease::LeaseName& lease, const Name& member,
                           lease::FencingToken token, std::uint64_t number) override;
    void on_document_written(const lease::LeaseName& lease, std::uint64_t number,
                             bool done) override;
    void on_document_read(const lease::LeaseName& lease, std::uint64_t number,
                          const std::string& bytes) override;
    // audit::FleetAuditHost
    void request_audit() override;
    void raise_alarm(const std::string& key, const std::string& text) override;
    void clear_alarm(const std::string& key) override;
    // slow_start::SlowStartCoordinatorHost
    void allocate(const Name& member, const EndpointId& endpoint, double max_attempts,
                  Seconds valid) override;

    void allocate_slow_start();
    void schedule_tick();

    net::EventLoop& loop_;
    net::Log& log_;
    Owner& owner_;
    const Name self_;
    const bool runs_audit_;
    const bool allocates_slow_start_;
    const bool replicates_;
    const Seconds window_;
    PlannerClient planner_client_;
    audit::FleetAudit fleet_audit_;
    slow_start::SlowStartCoordinator slow_start_coordinator_;
    lease::FencingCheck fencing_check_;
    std::map<Name, wire::Paces> allocations_;  // to be sent once the allocation is complete
    lease::FencingToken logged_token_;         // the token that was logged last
    std::map<std::string, std::string> alarm_texts_;
    Name repair_coordinator_;  // the member that coordinates repairs; empty if unknown
    EventWindow recent_attempts_;
    net::Timers::Id tick_timer_ = net::Timers::kNone;
};

}  // namespace tideline::cluster
