// A member's connection to the planners: sends the requests of its lease client, and operations on
// the alarms and documents of leases. Any planner can handle a request; if one does not answer, the
// next one is used. Used on the thread of the event loop.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/peer_connections.hpp"
#include "cluster/wanted_alarms.hpp"
#include "lease/lease_client.hpp"
#include "net/log.hpp"

namespace tideline::cluster {

class PlannerClient : lease::LeaseClientHost, PeerConnections::Owner {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void on_lease_acquired(const lease::LeaseName& lease,
                                       lease::FencingToken token) = 0;
        virtual void on_lease_lost(const lease::LeaseName& lease, lease::FencingToken token) = 0;
        // The planners have committed that the alarm is raised or cleared. `changed` is false if it
        // was in that state already.
        virtual void on_alarm_committed(const lease::LeaseName& lease, const std::string& key,
                                        bool raised, bool changed) = 0;
        // The keys of the raised alarms of the lease, on request.
        virtual void on_raised_alarms(const lease::LeaseName& lease,
                                      const std::set<std::string>& keys) = 0;
        // The holder of the lease; token 0 means that nobody holds it. `number` is that of the
        // lease's document.
        virtual void on_holder_changed(const lease::LeaseName& lease, const Name& member,
                                       lease::FencingToken token, std::uint64_t number) = 0;
        // Whether the document was written. Not called if no answer arrived.
        virtual void on_document_written(const lease::LeaseName& lease, std::uint64_t number,
                                         bool done) = 0;
        virtual void on_document_read(const lease::LeaseName& lease, std::uint64_t number,
                                      const std::string& bytes) = 0;
    };
    // `owner` and the other references must outlive this object. `planners` must not be empty.
    PlannerClient(net::EventLoop& loop, net::Log& log, Owner& owner,
                  const std::vector<std::string>& planners,
                  const lease::LeaseClientSettings& settings, const std::string& own_address,
                  const lease::Member& self);
    PlannerClient(const PlannerClient&) = delete;
    PlannerClient& operator=(const PlannerClient&) = delete;
    ~PlannerClient() override;

    void acquire(const lease::LeaseName& lease);
    void release_all();
    // Subscribes to the holders of all leases. Owner::on_holder_changed is called for each of them,
    // and again after each change.
    void watch();
    // Returns the fencing token under which this member may act now, if it holds the lease. Call it
    // right before each action and pass the token on.
    std::optional<lease::FencingToken> may_act(const lease::LeaseName& lease) const;
    // Raises or clears an alarm under the token of the lease; does nothing if this member does not
    // hold it. The change is sent until the planners have committed it, a newer change replaces it
    // or the lease is lost. Answered by Owner::on_alarm_committed.
    void set_alarm(const lease::LeaseName& lease, bool raised, const std::string& key,
                   const std::string& text);
    // Answered by Owner::on_raised_alarms.
    void request_raised_alarms(const lease::LeaseName& lease);
    // Writes the document of the lease, as the successor of document `number` - 1, under the token
    // of the lease; does nothing if this member does not hold it. Answered by
    // Owner::on_document_written.
    void write_document(const lease::LeaseName& lease, std::uint64_t number,
                        const std::string& bytes);
    // Answered by Owner::on_document_read.
    void request_document(const lease::LeaseName& lease);

  private:
    // A pending request that was not made by the lease client.
    struct Operation {
        enum class Kind { list_alarms, set_alarm, write_document, read_document };
        lease::LeaseName lease;
        std::string key;  // only for set_alarm
        Kind kind = Kind::list_alarms;
        bool raised = false;  // only for set_alarm
        Seconds started_at = 0;
        std::uint64_t number = 0;  // only for write_document
    };
    // lease::LeaseClientHost
    void request_acquire(lease::LeaseRequestId id, const lease::LeaseName& lease) override;
    void request_renewal(lease::LeaseRequestId id, const lease::LeaseName& lease,
                         lease::FencingToken token) override;
    void request_release(lease::LeaseRequestId id, const lease::LeaseName& lease,
                         lease::FencingToken token) override;
    void request_stop_waiting(lease::LeaseRequestId id, const lease::LeaseName& lease) override;
    void switch_planner() override;
    void on_acquired(const lease::LeaseName& lease, lease::FencingToken token) override;
    void on_lost(const lease::LeaseName& lease, lease::FencingToken token,
                 lease::LossReason reason) override;
    // PeerConnections::Owner
    void on_message(LinkId link, const wire::Word& message) override;
    void on_unreachable(const Name&) override {}
    void log_message(const std::string& what) override {
        log_.line("planner connection: {}", what);
    }

    std::uint64_t start_operation(const Operation& operation);
    void expire_operations();
    void send_alarms();
    bool is_running(Operation::Kind kind, const lease::LeaseName& lease,
                    const std::string& key) const;
    void handle_turn(const wire::Turn& turn);
    void handle_answer(const wire::LeaseAnswer& answer);
    bool is_from_known_cluster(const wire::LeaseAnswer& answer);
    void finish_operation(const Operation& operation, const wire::LeaseAnswer& answer);
    void report_raised_alarms(const lease::LeaseName& lease, const wire::PlannerTable& table);
    void pass_to_lease_client(const wire::LeaseAnswer& answer);
    wire::LeaseAsk make_request(wire::LeaseAsk::What what, std::uint64_t id,
                                const lease::LeaseName& lease, lease::FencingToken token) const;
    void send(const wire::LeaseAsk& request);
    void schedule_tick();

    net::EventLoop& loop_;
    net::Log& log_;
    Owner& owner_;
    const std::vector<std::string> planners_;
    const std::string own_address_;
    const lease::Member self_;
    PeerConnections peer_connections_;
    lease::LeaseClient lease_client_;
    std::size_t planner_index_ = 0;         // index of the planner in use
    std::uint64_t planner_cluster_id_ = 0;  // cluster id of the planners; 0 until the first answer
    bool logged_foreign_cluster_ = false;
    std::map<std::uint64_t, Operation> operations_;  // by the id of the request
    std::uint64_t last_operation_ = 0;
    WantedAlarms wanted_alarms_;
    net::Timers::Id tick_timer_ = net::Timers::kNone;
    net::Timers::Id watch_timer_ = net::Timers::kNone;
};

}  // namespace tideline::cluster
