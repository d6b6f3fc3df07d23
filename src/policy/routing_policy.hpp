// The interface of the routing policy: events go in (RoutingPolicy), actions come out (Host). All
// calls come from one thread, the event loop.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline {

// The actions of the policy. Each call takes effect at once; none calls back into the policy.
class Host {
  public:
    virtual ~Host() = default;
    // Sends an attempt, which has to end by `stop_at`.
    virtual void attempt(RequestId request, const EndpointId& endpoint, Seconds stop_at) = 0;
    // The client may send the request again; `retry_after` 0: without advice when.
    virtual void reject(RequestId request, Seconds retry_after) = 0;
    // The request may have run, so the client has to be told that its outcome is unknown.
    virtual void fail(RequestId request) = 0;
    // Sends a health check.
    virtual void send_health_check(const EndpointId& endpoint) = 0;
    // Opens the watch, which starts with the changes missed or with the whole list.
    virtual void watch_endpoint_list() = 0;
    virtual void vote(Build build, Stage stage, Vote vote) = 0;
    // Sets a timer, which can't be cancelled.
    virtual void set_timer(Seconds delay, TimerId timer) = 0;
    // The build is judged to be bad; a log line says why.
    virtual void build_condemned(Build, Stage) {}
    // Writes a log line.
    virtual void log_event(const std::string& text) = 0;
};

// The decisions of one sidecar. Each call carries the time, in seconds, which never decreases. The
// constructor throws std::invalid_argument, naming the setting, if it can't work with the settings.
// `host` is not owned and outlives the policy.
class RoutingPolicy {
  public:
    RoutingPolicy(Host& host, const Settings& settings, std::uint64_t seed, Seconds now);
    ~RoutingPolicy();
    RoutingPolicy(const RoutingPolicy&) = delete;
    RoutingPolicy& operator=(const RoutingPolicy&) = delete;

    // A list alone confirms nothing: once it was read whole, endpoint_list_confirmed follows.
    void endpoints_updated(Seconds now, EndpointListKind kind,
                           const std::vector<EndpointInfo>& endpoints);
    // A message of the watch, with or without a change: all that was notified by `as_of` is known.
    void endpoint_list_confirmed(Seconds now, Seconds as_of);
    // In these calls `since` is the earliest time at which the event may have arrived.
    // A change has arrived in part, or can't be read: it counts as notified.
    void endpoint_list_unreadable(Seconds now, Seconds since);
    // The discovery service is called at another address from now on.
    void discovery_moved(Seconds now, Seconds since);
    void watch_lost(Seconds now, Seconds since, WatchLoss loss);
    void request_arrived(Seconds now, RequestId request, RequestClass request_class,
                         TenantId tenant, std::optional<ObjectKey> key, Seconds budget,
                         std::optional<Seconds> work);
    // A request that other sidecars may have sent before. Their attempts count like own ones; the
    // request itself was counted by the sidecar that received it.
    void request_handed_over(Seconds now, RequestId request, RequestClass request_class,
                             TenantId tenant, std::optional<ObjectKey> key, Seconds budget,
                             const std::vector<Attempt>& earlier);
    void stream_started(Seconds now, RequestId request, AttemptNumber number);
    void attempt_ended(Seconds now, RequestId request, AttemptNumber number,
                       const EndpointId& endpoint, Outcome outcome, Seconds took, bool concluded,
                       const LoadReport& load);
    // Asked just before the first byte of an attempt that had to wait for a connection. If the
    // answer is no, the attempt has to end as never_sent.
    bool may_still_send(Seconds now, RequestId request, AttemptNumber number);
    void request_abandoned(Seconds now, RequestId request);
    void health_check_ended(Seconds now, const EndpointId& endpoint, Outcome outcome, Seconds took,
                            const LoadReport& load);
    void answer_flagged(Seconds now, RequestClass request_class, const EndpointId& endpoint,
                        Seconds sent_ago);
    void tally_received(Seconds now, Build build, RequestClass request_class, int count, int failed,
                        Seconds mean_time);
    void stage_announced(Seconds now, Build build, Stage stage, Phase phase, double cap,
                         Seconds age);
    void vote_answered(Seconds now, VoteReply reply);
    // Can only restrict: attempts at the build on trial end as if the cap had fallen, and no vote
    // for the next stage is sent.
    void trial_participation_set(Seconds now, TrialParticipation trial_participation);
    // The coordinator grants `most` attempts in a window to a cold endpoint, for `valid` seconds.
    // The own slow start rule holds besides.
    void slow_start_limit_set(Seconds now, const EndpointId& endpoint, double max_attempts,
                              Seconds valid_for);
    void timer_fired(Seconds now, TimerId timer);
    // Requests rejected since the start, by reason; for the log.
    long rejections(RejectionReason reason) const;

  private:
    struct PolicyState;
    PolicyState& at(Seconds now);
    std::unique_ptr<PolicyState> state_;
};

}  // namespace tideline
