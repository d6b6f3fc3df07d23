// A planner process: connects the planner core to the other planners, the members and the disk. All
// decisions are made by the planner core. All calls come from the thread of the event loop.
//
// The implementation is in three files: planner.cpp has the start, the disk and the timers;
// planner_messages.cpp the messages of other planners and their routing; planner_requests.cpp the
// requests of members and operators.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/peer_connections.hpp"
#include "net/log.hpp"
#include "planner/planner_config.hpp"
#include "planner/planner_directory.hpp"
#include "planner/raft_message_codec.hpp"
#include "planner/raft_storage.hpp"

namespace tideline::planner {

class Planner : RaftMessageCodec, cluster::PeerConnections::Owner {
  public:
    // `founds_cluster` tells that this is the first planner of a new cluster; its disk has to be
    // empty. Throws std::runtime_error if the disk or the address can't be used.
    Planner(net::EventLoop& loop, net::Log& log, const PlannerConfig& planner_config,
            bool founds_cluster, std::uint64_t seed);
    Planner(const Planner&) = delete;
    Planner& operator=(const Planner&) = delete;
    ~Planner() override;
    void begin();
    // Why the planner can't continue, for example because its disk failed; empty while it can.
    const std::string& fatal_error() const {
        return fatal_error_;
    }

  private:
    using ServerId = raft::ServerId;
    // A request that is not answered yet.
    struct PendingRequest {
        cluster::LinkId link;
        std::uint64_t id = 0;  // the number that the sender gave the request
        Seconds received_at = 0;
    };
    // RaftMessageCodec
    ServerId self() const override {
        return raft::server_id_of(planner_config_.name, raft_storage_.disk());
    }
    void send_planning(ServerId to, const wire::Planning& message) override;
    void persist(raft::PersistId id, const raft::PersistRequest& request) override;
    void log_event(const std::string& text) override {
        log_.line("planner: {}", text);
    }
    // PlannerCoreHost
    void reply(lease::LeaseRequestId id, lease::Answer result, lease::FencingToken token,
               Seconds span, std::size_t before) override;
    void on_command_committed(lease::LeaseRequestId id, bool changed) override;
    void notify_turn(const lease::Member& member, const lease::LeaseName& lease,
                     lease::FencingToken token) override;
    void holder_changed(const lease::LeaseName& lease) override;
    // PeerConnections::Owner
    void on_message(cluster::LinkId link, const wire::Word& message) override;
    void on_unreachable(const cluster::Name&) override {}
    void log_message(const std::string& text) override {
        log_.line("planner: {}", text);
    }

    void start_core(raft::PersistentState state);
    void found_cluster();
    wire::Word new_message() const;
    // Messages of other planners. The .cpp file explains the results.
    void handle_planning(cluster::LinkId link, const wire::Word& message);
    bool handle_announcement(const cluster::Name& name, const std::string& address,
                             const wire::Planning& planning);
    bool handle_presence(const cluster::Name& name, const wire::Planning& planning);
    bool join_cluster_of(const wire::Planning& planning);
    bool is_of_this_cluster(const cluster::Name& name, const std::string& address,
                            const wire::Planning& planning);
    void consider_admission(const cluster::Name& name, const std::string& address, ServerId server,
                            Seconds now);
    void send_presence(const cluster::Name& name, const std::string& address);
    void announce();
    void remove_expired(Seconds now);
    void handle_lease_request(cluster::LinkId link, const wire::Word& message);
    void serve_request(Seconds now, lease::LeaseRequestId id, const wire::LeaseAsk& ask);
    void finish_request(lease::LeaseRequestId id, wire::LeaseAnswer& answer);
    void send_answer(const PendingRequest& request, wire::LeaseAnswer& answer);
    void add_watcher(Seconds now, cluster::LinkId link);
    void answer_with_document(lease::LeaseRequestId id, const lease::LeaseName& lease);
    void answer_with_table(lease::LeaseRequestId id, bool stale);
    bool forward_to_leader(lease::LeaseRequestId id, const wire::LeaseAsk& ask);
    void serve_revoke(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease);
    void serve_admit(Seconds now, lease::LeaseRequestId id, const cluster::Name& planner);
    void serve_remove(Seconds now, lease::LeaseRequestId id, const cluster::Name& planner);
    void fill_voter_row(Seconds now, ServerId server, const raft::Voter& voter,
                        wire::PlannerRow& row) const;
    void send_holder(cluster::LinkId link, const lease::LeaseName& lease);
    void fill_table(wire::PlannerTable& table) const;
    void reject(lease::LeaseRequestId id, const std::string& reason);
    // Writes all pending requests to the disk in one transaction.
    void write_to_disk();
    void schedule_tick();

    net::EventLoop& loop_;
    net::Log& log_;
    const PlannerConfig planner_config_;
    RaftStorage raft_storage_;
    cluster::PeerConnections peer_connections_;
    // Null in a planner that founds a cluster, until it has done so.
    std::unique_ptr<PlannerCore> planner_core_;
    // 0 until the planner has founded or joined a cluster.
    raft::ClusterId cluster_;
    // Requests that will be written in one transaction. `last_persist_id_` is the id of the newest.
    std::vector<raft::PersistRequest> pending_writes_;
    raft::PersistId last_persist_id_;
    // Keyed by the id under which the planner core answers the request.
    std::map<lease::LeaseRequestId, PendingRequest> pending_requests_;
    PlannerDirectory directory_;
    // Connections that subscribed to the holders of leases, with the times at which their
    // subscriptions expire.
    std::map<cluster::LinkId, Seconds> watchers_;
    // Identifies the faults that were logged already; each is logged only once.
    std::set<std::string> logged_faults_;
    std::uint64_t last_request_id_ = 0;
    std::string fatal_error_;
    net::Timers::Id tick_timer_ = net::Timers::kNone;
    net::Timers::Id write_timer_ = net::Timers::kNone;
    net::Timers::Id batch_timer_ = net::Timers::kNone;
    net::Timers::Id announce_timer_ = net::Timers::kNone;
    const bool founds_cluster_;
};

}  // namespace tideline::planner
