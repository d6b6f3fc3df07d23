// This sidecar as a member of the cluster. Connects the protocol cores (membership, version audit,
// audit log) to the network connections, to the sidecar, and to leased tasks and replication. Makes
// no decisions itself.
#pragma once

#include <memory>
#include <string>

#include "audit/audit_log.hpp"
#include "audit/sealed_heads.hpp"
#include "audit/version_audit.hpp"
#include "cluster/active_state.hpp"
#include "cluster/audit_queries.hpp"
#include "cluster/cluster_config.hpp"
#include "cluster/leased_tasks.hpp"
#include "cluster/member_messenger.hpp"
#include "cluster/member_store.hpp"
#include "cluster/membership.hpp"
#include "cluster/message_receiver.hpp"
#include "cluster/peer_connections.hpp"
#include "cluster/replication_agent.hpp"
#include "cluster/state_transfer.hpp"
#include "net/cluster_observer.hpp"
#include "net/log.hpp"

namespace tideline::cluster {

class ClusterMember : public net::ClusterObserver,
                      MembershipHost,
                      audit::VersionAuditHost,
                      audit::AuditLogHost,
                      PeerConnections::Owner,
                      LeasedTasks::Owner,
                      ReplicationAgent::Owner {
  public:
    // `sidecar_config_digest` is the digest of the sidecar's own configuration. Throws
    // std::runtime_error with a one-line message for the operator.
    ClusterMember(net::EventLoop& loop, net::Log& log, const ClusterConfig& cluster_config,
                  const std::string& sidecar_config_digest,
                  const slow_start::SlowStartSettings& slow_start_settings, std::uint64_t seed);
    ClusterMember(const ClusterMember&) = delete;
    ClusterMember& operator=(const ClusterMember&) = delete;
    ~ClusterMember() override;
    void begin(net::ObservedSidecar& sidecar);
    // Returns nullptr without replication.
    net::DuplicateEffectGuard* effect_guard() {
        return replication_agent_.get();
    }
    // Returns whether other members know the outcome of every attempt that this sidecar sent.
    bool settled() const {
        return !replication_agent_ || replication_agent_->is_settled();
    }
    // Applies the settings that can change at run time. To be called after SIGHUP.
    void apply_config(const ClusterConfig& new_config);
    // Notifies the other members that this one leaves. To be called after SIGTERM.
    void leave();
    // net::ClusterObserver
    bool accepts_revision(std::int64_t revision) override;
    void endpoint_list_applied(std::int64_t revision, EndpointListKind kind,
                               const std::vector<EndpointInfo>& endpoints,
                               const std::vector<net::Address>& addresses) override;
    bool release_status_received(Build build, Stage stage, Phase phase, double cap,
                                 Seconds age) override;
    void attempted(const EndpointId& endpoint) override;
    void voted(Vote vote) override {
        audit_log_.add_vote(vote);
    }
    void build_marked() override {
        audit_log_.add_condemned_build();
    }

  private:
    // MembershipHost
    void ping(const Name& to, PingId ping_id, const Gossip& gossip) override {
        messenger_.ping(to, ping_id, gossip);
    }
    void request_indirect_ping(const Name& helper, PingId ping_id, const Name& target,
                               const Gossip& gossip) override {
        messenger_.request_indirect_ping(helper, ping_id, target, gossip);
    }
    void acknowledge(const Name& to, PingId ping_id, const Gossip& gossip) override {
        messenger_.acknowledge(to, ping_id, gossip);
    }
    void report_no_answer(const Name& to, PingId ping_id) override {
        messenger_.report_no_answer(to, ping_id);
    }
    void request_table(const std::string& address) override {
        messenger_.request_member_table(address);
    }
    void send_table(const Name& to, const Gossip& part, bool wants_reply) override {
        messenger_.send_member_table(to, part, wants_reply);
    }
    void on_member_changed(const Entry& entry, MemberState before, bool new_incarnation) override;
    void raise_membership_alarm(const std::string& text) override {
        log_.alarm("{}", text);
    }
    // audit::VersionAuditHost
    void request_versions(const Name& of) override;
    void request_transfer(const Name& from, audit::VersionPart part) override;
    void request_confirmation(const Name& of, audit::VersionPart part,
                              const audit::ContentVersion& version) override {
        messenger_.request_confirmation(of, part, version);
    }
    void apply_version(audit::VersionPart part, const audit::ContentVersion& version) override;
    void notify_excluded(const Name& name) override {
        messenger_.send_refusal(name);
    }
    void gossip_exclusion(const Name& name, const Incarnation& incarnation, bool excluded) override;
    void trial_participation(TrialParticipation trial_participation) override;
    void raise_audit_alarm(const std::string& text) override {
        log_.alarm("audit: {}", text);
    }
    // audit::AuditLogHost
    void on_epoch_sealed(const audit::Epoch& epoch) override;
    // LeasedTasks::Owner
    void request_audit() override {
        queries_.start_fleet_audit();
    }
    std::vector<Name> present_members() const override;
    void send_slow_start_limits(const Name& to, const wire::Paces& limits) override {
        messenger_.send_slow_start_limits(to, limits);
    }
    void set_slow_start_limit(const EndpointId& endpoint, double max_attempts,
                              Seconds valid) override;
    void on_repair_lease(bool held) override {
        if (replication_agent_) {
            replication_agent_->set_repair_lease(held);
        }
    }
    void on_replica_table_version(std::uint64_t number) override {
        if (replication_agent_) {
            replication_agent_->on_table_version(number);
        }
    }
    void on_replica_table_written(bool done) override {
        if (replication_agent_) {
            replication_agent_->on_table_written(done);
        }
    }
    void on_replica_table_read(std::uint64_t number, const std::string& bytes) override {
        if (replication_agent_) {
            replication_agent_->on_table_read(number, bytes);
        }
    }
    // ReplicationAgent::Owner
    void send_replication_message(const Name& to, const wire::Holding& message) override {
        messenger_.send_replication(to, message);
    }
    void reply_replication_status(LinkId link, const wire::Holdings& answer) override {
        messenger_.reply_replication_status(link, answer);
    }
    const EndpointInfo* find_endpoint(const EndpointId& endpoint) const override {
        return state_.find_endpoint(endpoint);
    }
    void write_table(std::uint64_t number, const std::string& bytes) override {
        leased_tasks_->write_table(number, bytes);
    }
    void read_table() override {
        leased_tasks_->read_table();
    }
    void set_replication_alarm(bool raised, const std::string& key,
                               const std::string& text) override {
        leased_tasks_->set_replication_alarm(raised, key, text);
    }
    Name repair_coordinator() const override {
        return leased_tasks_->repair_coordinator();
    }
    // PeerConnections::Owner
    void on_message(LinkId link, const wire::Word& message) override;
    void on_unreachable(const Name& name) override;
    void log_message(const std::string& what) override {
        log_.line("{}", what);
    }

    void clear_endpoints();
    // Passes the state that this member acts on to the audit log and the membership. To be called
    // after each change.
    void publish_state();
    void adopt_transfer(audit::VersionPart part, const audit::ContentVersion& version);
    void schedule_membership_tick();
    // Runs the version audit, and again after a fraction of its grace.
    void review_versions();

    net::EventLoop& loop_;
    net::Log& log_;
    const ClusterConfig started_config_;
    // As last reloaded.
    ClusterConfig cluster_config_;
    net::ObservedSidecar* sidecar_ = nullptr;
    const std::string sidecar_config_digest_;
    MemberStore member_store_;
    audit::SealedHeads heads_;
    ActiveState state_;
    StateTransfer transfers_;
    TrialParticipation trial_participation_ = TrialParticipation::open;
    PeerConnections peer_connections_;
    audit::AuditLog audit_log_;
    Membership membership_;
    audit::VersionAudit version_audit_;
    MemberMessenger messenger_;
    AuditQueries queries_;
    MessageReceiver receiver_;
    std::unique_ptr<LeasedTasks> leased_tasks_;            // null without planners
    std::unique_ptr<ReplicationAgent> replication_agent_;  // null without replication
    net::Timers::Id membership_timer_ = net::Timers::kNone;
    net::Timers::Id review_timer_ = net::Timers::kNone;
    bool epoch_store_failed_ = false;
    bool began_ = false;
};

}  // namespace tideline::cluster
