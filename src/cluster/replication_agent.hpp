// Connects the replica, the effect log client and the repair coordinator of a member to the disk,
// the other members, the planners and the sidecar. Makes no decisions itself. Used on the thread of
// the event loop.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "audit/audit_log.hpp"
#include "cluster.pb.h"
#include "cluster/cluster_config.hpp"
#include "cluster/membership.hpp"
#include "cluster/peer_connections.hpp"
#include "net/cluster_observer.hpp"
#include "net/duplicate_effect_guard.hpp"
#include "net/log.hpp"
#include "replication/message_codec.hpp"
#include "replication/repair_coordinator.hpp"
#include "replication/replica_store.hpp"

namespace tideline::cluster {

class ReplicationAgent : public net::DuplicateEffectGuard,
                         net::Watcher,
                         replication::MessageSender,
                         replication::RepairCoordinatorHost {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void send_replication_message(const Name& to, const wire::Holding& message) = 0;
        virtual void reply_replication_status(LinkId link, const wire::Holdings& answer) = 0;
        // Returns the other members that are present.
        virtual std::vector<Name> present_members() const = 0;
        virtual const EndpointInfo* find_endpoint(const EndpointId& endpoint) const = 0;
        virtual void write_table(std::uint64_t number, const std::string& bytes) = 0;
        virtual void read_table() = 0;
        virtual void set_replication_alarm(bool raised, const std::string& key,
                                           const std::string& text) = 0;
        // Returns the holder of the repair lease; empty if it is not known.
        virtual Name repair_coordinator() const = 0;
    };
    // Throws std::runtime_error with a one-line message.
    ReplicationAgent(net::EventLoop& loop, net::Log& log, Owner& owner,
                     const ClusterConfig& cluster_config, const Incarnation& incarnation,
                     std::uint64_t fresh_disk);
    ReplicationAgent(const ReplicationAgent&) = delete;
    ReplicationAgent& operator=(const ReplicationAgent&) = delete;
    ~ReplicationAgent() override;
    void begin(net::ObservedSidecar& sidecar);
    void leave();
    void update_member(const Entry& entry);
    // Returns whether no notification is still to be delivered to a primary.
    bool is_settled() const {
        return effect_log_.pending_notifications() == 0;
    }
    // Replicates the epoch, so that it survives the loss of this machine.
    void replicate_epoch(const audit::Epoch& epoch);
    // Events from the planners.
    void set_repair_lease(bool held);
    // `number` is the version of the newest replica table at the planners.
    void on_table_version(std::uint64_t number);
    void on_table_read(std::uint64_t number, const std::string& bytes);
    void on_table_written(bool done);
    // Messages from other members and queries from operators.
    void receive(const Name& from, const Incarnation& incarnation, const wire::Holding& message);
    void answer_query(LinkId link, const wire::AskHoldings& ask);
    // net::DuplicateEffectGuard
    void before_attempt(const net::AtMostOnceRequest& what, AttemptNumber attempt,
                        const EndpointId& endpoint) override;
    void attempt_ended(RequestId request, AttemptNumber attempt, Outcome outcome,
                       std::string_view answer) override;
    void request_ended(RequestId request) override;

  private:
    struct OperatorQuery {  // a running query of an operator
        LinkId link;
        wire::Holdings answer;
        std::set<Name> awaited;
        std::map<replication::Key, std::string> reads;  // the purpose of each pending read
        Seconds deadline = 0;
    };
    // net::Watcher: the store has completed writes.
    void ready(short events) override;
    // replication::MessageSender
    void post(const Name& to, const wire::Holding& message) override;
    Seconds time() const override;
    // replication::ReplicaHost
    void store(replication::WriteNumber write_number, replication::ShardId shard_id,
               const replication::Record& record) override;
    void store_removal(replication::WriteNumber write_number, replication::ShardId shard_id,
                       const std::vector<replication::Key>& keys) override;
    void store_shard_removal(replication::WriteNumber write_number,
                             replication::ShardId shard_id) override;
    void store_table_version(replication::WriteNumber write_number,
                             replication::TableVersion number) override;
    void request_table(replication::TableVersion least) override;
    void log_alarm(const std::string& text) override {
        log_.alarm("{}", text);
    }
    // replication::EffectLogClientHost
    void on_cleared(RequestId request, AttemptNumber attempt) override;
    void on_rejected(RequestId request, Seconds retry_after) override;
    void on_deferred(RequestId request) override;
    void on_answer_found(RequestId request, const std::string& answer) override;
    void on_returned_to_policy(RequestId request,
                               const std::vector<replication::AttemptRecord>& earlier) override;
    void on_effect_unknown(RequestId request) override;
    void on_record_read(const replication::Key& key, const replication::Record* record) override;
    void on_alarm(const std::string& text) override {
        log_.alarm("{}", text);
    }
    // replication::RepairCoordinatorHost
    void propose(const replication::ReplicaTable& table) override;
    void request_reports() override;
    void on_member_excluded(const replication::Exclusion& exclusion) override {
        log_.line("member excluded: name={} reason={} complaints={}", exclusion.member.value,
                  replication::exclusion_reason_name(exclusion.reason), exclusion.complaints);
    }
    void raise_alarm(const std::string& key, const std::string& text) override {
        owner_.set_replication_alarm(true, key, text);
    }
    void clear_alarm(const std::string& key) override {
        owner_.set_replication_alarm(false, key, {});
    }

    wire::HeldReport make_report();
    void send_report(const Name& to, std::uint64_t request_number);
    void replicate_epoch_index();
    void start_read(OperatorQuery& query, const replication::Key& key, const std::string& what);
    void finish_queries();
    void scrub();
    void schedule_tick();

    net::EventLoop& loop_;
    net::Log& log_;
    Owner& owner_;
    const ReplicationSettings settings_;
    const Name self_;
    const Incarnation incarnation_;
    net::ObservedSidecar* sidecar_ = nullptr;
    replication::ReplicaStore replica_store_;
    replication::EffectLogClient effect_log_;
    replication::RepairCoordinator repair_coordinator_;
    std::unique_ptr<replication::Replica> replica_;
    bool disk_works_ = true;
    bool holds_repair_lease_ = false;
    bool logged_older_table_ = false;
    // Since when the planners' table is older than the newest one applied; 0: it is not.
    Seconds older_table_since_ = 0;
    std::map<Name, net::Timers::Id> leave_timers_;
    std::uint64_t newest_table_ = 0;
    std::map<std::uint64_t, OperatorQuery> queries_;
    std::uint64_t last_query_id_ = 0;
    // Incarnations of this member with replicated epochs, each with the number of its last one.
    // Complete once knows_sealed_epochs_ is true.
    std::map<std::uint64_t, std::uint64_t, std::greater<>> sealed_epochs_;
    bool knows_sealed_epochs_ = false;
    std::uint32_t scrubbed_shards_ = 0;
    net::Timers::Id tick_timer_ = net::Timers::kNone;
    net::Timers::Id scrub_timer_ = net::Timers::kNone;
    net::Timers::Id poll_timer_ = net::Timers::kNone;
};

}  // namespace tideline::cluster
