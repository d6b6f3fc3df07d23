// The sidecar proxy: passes the reports of clients, endpoints, discovery and the release platform
// to the routing policy, and carries out the policy's decisions.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/client_listener.hpp"
#include "net/cluster_observer.hpp"
#include "net/discovery_client.hpp"
#include "net/duplicate_effect_guard.hpp"
#include "net/endpoint_pool.hpp"
#include "net/log.hpp"
#include "net/open_requests.hpp"
#include "net/release_platform_client.hpp"
#include "net/sidecar_config.hpp"
#include "net/sidecar_counters.hpp"
#include "net/sidecar_settings.hpp"
#include "policy/routing_policy.hpp"

namespace tideline::net {

// All calls must come from the event loop's thread. The member functions are defined in three
// files: sidecar.cpp (start, shutdown, requests and attempts), sidecar_guarded_attempts.cpp
// (attempts that need the duplicate-effect guard) and sidecar_updates.cpp (endpoint lists, release
// stages, reports).
class Sidecar : public Host,
                public ObservedSidecar,
                ClientListener::Owner,
                EndpointPool::Owner,
                DiscoveryClient::Owner,
                ReleasePlatformClient::Owner {
  public:
    // Starts to listen and opens the connections to discovery and the release platform. `observer`
    // is notified of everything on which this sidecar acts; null outside a cluster. `effect_guard`
    // is asked before an attempt is sent whose request must not take effect twice; null if the
    // cluster does not replicate effects. All arguments but `config` must outlive the sidecar.
    // Throws std::runtime_error if the address can't be listened at or a setting is missing.
    Sidecar(EventLoop& loop, Log& log, const SidecarConfig& config,
            ClusterObserver* observer = nullptr, DuplicateEffectGuard* effect_guard = nullptr);
    ~Sidecar() override;
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;
    // Stops accepting clients and closes each client connection as soon as it is between two
    // requests. Called kShutdownOverlapDuration after SIGTERM.
    void shut_down();
    // Applies the parts of the configuration that can change at run time. `since` is the earliest
    // time at which the SIGHUP can have been sent.
    void reload(const SidecarConfig& new_config, Seconds since);
    // Returns whether all clients are disconnected after shut_down(). No request is open then,
    // because each open request has a client that waits for it.
    bool done() const {
        return shutting_down_ && clients_.size() == 0;
    }
    // Writes the counters to the log.
    void report();

    // ObservedSidecar
    void apply_endpoint_list(std::int64_t revision, const std::vector<EndpointInfo>& endpoints,
                             const std::vector<Address>& addresses) override;
    void apply_stage(Build build, Stage stage, Phase phase, double cap, Seconds age) override;
    void set_trial_participation(TrialParticipation participation) override;
    void set_slow_start_limit(const EndpointId& endpoint, double max_attempts,
                              Seconds valid) override;
    void attempt_cleared(RequestId request, AttemptNumber number) override;
    void attempt_refused(RequestId request, Seconds retry_after) override;
    void attempt_deferred(RequestId request) override;
    void answer_found(RequestId request, std::string_view answer) override;
    void request_returned(RequestId request, const std::vector<Attempt>& earlier) override;
    void effect_unknown(RequestId request) override;

  private:
    // An attempt for which the duplicate-effect guard has been asked and has not decided yet.
    struct GuardedAttempt {
        AttemptNumber number;
        EndpointId endpoint;
        Seconds stop_at = 0;
        Seconds asked_at = 0;
    };

    // Host: decisions of the routing policy.
    void attempt(RequestId request, const EndpointId& endpoint, Seconds stop_at) override;
    void reject(RequestId request, Seconds retry_after) override;
    void fail(RequestId request) override;
    void send_health_check(const EndpointId& endpoint) override;
    void watch_endpoint_list() override;
    void vote(Build build, Stage stage, Vote vote) override;
    void build_marked(Build build, Stage stage) override;
    void set_timer(Seconds after, TimerId timer) override;
    void log_event(const std::string& text) override;

    // ClientListener::Owner
    bool can_serve() override;
    long max_idle_clients() override;
    void connection_ended(ClientId client) override;
    bool has_room_for_client() override;
    std::optional<RequestId> admit(ClientId client, const ClientQuery& query,
                                   Seconds arrived_at) override;
    void request_admitted(RequestId request) override;
    void client_disconnected(RequestId request) override;

    // EndpointPool::Owner
    bool has_room_for_connection() override;
    std::string statement_for(RequestId request, Seconds stop_at) override;
    bool may_still_send(RequestId request, AttemptNumber number) override;
    bool client_waits(RequestId request) override;
    bool decision_is_recent() override;
    void attempt_written() override;
    void attempt_ended(RequestId request, AttemptNumber number, const EndpointId& endpoint,
                       Outcome outcome, Seconds took, const LoadReport& load,
                       std::string_view answer) override;
    void health_check_ended(const EndpointId& endpoint, Outcome outcome, Seconds took,
                            const LoadReport& load) override;

    // DiscoveryClient::Owner
    void endpoint_list_received(EndpointListKind kind, const std::vector<EndpointInfo>& endpoints,
                                const std::vector<Address>& addresses) override;
    void endpoint_list_confirmed(Seconds as_of) override;
    void endpoint_list_unreadable(Seconds since) override;
    void discovery_moved(Seconds since) override;
    void watch_lost(Seconds since, WatchLoss loss, const std::string& details) override;
    void watch_restored(const std::string& details) override;
    bool accepts_revision(std::int64_t revision) override;

    // ReleasePlatformClient::Owner
    void stage_announced(Build build, Stage stage, Phase phase, double cap, Seconds age) override;
    void answer_flagged(const std::string& request_class, const EndpointId& endpoint,
                        Seconds sent_ago) override;
    void vote_answered(VoteReply reply) override;
    void platform_event(const std::string& event) override;

    void send(RequestId request, const OpenRequest& open, AttemptNumber number,
              const EndpointId& endpoint, Seconds stop_at);
    void request_effect_clearance(RequestId request, const OpenRequest& open, AttemptNumber number,
                                  const EndpointId& endpoint, Seconds stop_at);
    std::optional<GuardedAttempt> take_guarded_attempt(RequestId request);
    void end_unsent_attempt(RequestId request, const GuardedAttempt& attempt, bool concluded);
    bool make_room_below(std::size_t descriptors);
    bool has_memory_for(const OpenRequest& open) const;
    void conclude(RequestId request, std::string_view answer);
    void settle_id(const OpenRequest& open);
    // Removes the request if it is concluded and none of its attempts is in flight.
    void forget_if_done(RequestId request);
    void report_periodically();
    // Reads the clock for a call to the routing policy, which may decide to send an attempt.
    Seconds decision_time() {
        return decided_at_ = clock_now();
    }

    EventLoop& loop_;
    Log& log_;
    ClusterObserver* const observer_;
    DuplicateEffectGuard* const effect_guard_;
    const Settings settings_;
    const std::string name_;
    const Address listen_address_;
    std::size_t max_descriptors_;
    MemoryLimits memory_limits_;
    const RequestClassesByName request_classes_;
    const TenantsByName tenants_;
    // Effects of the request classes that must not take effect twice; empty without a guard.
    const std::map<RequestClass, Effect> guarded_effects_;
    std::map<RequestId, GuardedAttempt> guarded_attempts_;
    OpenRequests requests_;
    RequestIdTable request_ids_;
    ClientListener clients_;
    EndpointPool endpoints_;
    DiscoveryClient discovery_;
    ReleasePlatformClient platform_;
    std::unique_ptr<RoutingPolicy> policy_;
    bool has_endpoints_ = false;   // a list with at least one entry has been received
    bool list_confirmed_ = false;  // the list was confirmed at least once since the start
    bool shutting_down_ = false;
    Seconds shutdown_deadline_ = 0;  // every answer is due by then; valid while shutting down
    const bool overlapping_attempts_;
    Seconds decided_at_ = 0;  // the time of the latest call to the routing policy
    const Seconds ready_by_;  // from this time on clients are served in any case
    Timers::Id report_timer_ = Timers::kNone;
    Timers::Id ready_timer_ = Timers::kNone;
    SidecarCounters counters_;
};

}  // namespace tideline::net
