// The interface of the routing policy: RoutingPolicy receives events, and Host carries out the
// resulting actions. All calls are made on one thread, that of the event loop.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline {

// The actions that the policy requests. Each call takes effect at once, and none calls back into
// the policy.
class Host {
  public:
    virtual ~Host() = default;
    // Sends an attempt, which has to end by `stop_at`.
    virtual void attempt(RequestId request, const EndpointId& endpoint, Seconds stop_at) = 0;
    // Rejects a request that the client may safely send again. With a `retry_after` of 0 the client
    // gets no advice when.
    virtual void reject(RequestId request, Seconds retry_after) = 0;
    // Fails a request that may have run. The client has to be told that the outcome is unknown.
    virtual void fail(RequestId request) = 0;
    virtual void send_health_check(const EndpointId& endpoint) = 0;
    // Opens the watch on the endpoint list, which begins with the changes missed or with the
    // complete list.
    virtual void watch_endpoint_list() = 0;
    // Sends a vote on the build on trial; vote_answered() reports the reply.
    virtual void vote(Build build, Stage stage, Vote vote) = 0;
    // Sets a timer, which can't be cancelled.
    virtual void set_timer(Seconds delay, TimerId timer) = 0;
    // The build was judged to be bad; a log line gives the reason.
    virtual void build_marked(Build, Stage) {}
    virtual void log_event(const std::string& text) = 0;
};

// Makes the routing decisions of one sidecar. Each call carries the current time, in seconds, which
// never decreases. The constructor throws std::invalid_argument, which names the setting, if a
// setting is missing or out of range. `host` is not owned and must outlive the policy.
class RoutingPolicy {
  public:
    RoutingPolicy(Host& host, const Settings& settings, std::uint64_t seed, Seconds now);
    ~RoutingPolicy();
    RoutingPolicy(const RoutingPolicy&) = delete;
    RoutingPolicy& operator=(const RoutingPolicy&) = delete;

    // A list alone confirms nothing; endpoint_list_confirmed() follows once all of it has been
    // read.
    void endpoints_updated(Seconds now, EndpointListKind kind,
                           const std::vector<EndpointInfo>& endpoints);
    // The watch delivered a message, with or without a change: every change notified by `as_of` has
    // been read.
    void endpoint_list_confirmed(Seconds now, Seconds as_of);
    // In the next three calls `since` is the earliest time at which the event may have arrived. An
    // unreadable change has arrived in part or can't be parsed; it counts as notified.
    void endpoint_list_unreadable(Seconds now, Seconds since);
    // From now on the discovery service is called at another address.
    void discovery_moved(Seconds now, Seconds since);
    void watch_lost(Seconds now, Seconds since, WatchLoss loss);
    void request_arrived(Seconds now, RequestId request, RequestClass request_class,
                         TenantId tenant, std::optional<ObjectKey> key, Seconds budget,
                         std::optional<Seconds> work);
    // Takes over a request that other sidecars may have sent before. Their attempts count like this
    // sidecar's own; the request itself was counted by the sidecar that received it.
    void request_handed_over(Seconds now, RequestId request, RequestClass request_class,
                             TenantId tenant, std::optional<ObjectKey> key, Seconds budget,
                             const std::vector<Attempt>& earlier);
    void stream_started(Seconds now, RequestId request, AttemptNumber number);
    void attempt_ended(Seconds now, RequestId request, AttemptNumber number,
                       const EndpointId& endpoint, Outcome outcome, Seconds took, bool concluded,
                       const LoadReport& load);
    // To be called just before the first byte of an attempt that waited for a connection. If it
    // returns false, the attempt has to end as never_sent.
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
    // Restricts this sidecar's part in a trial, but never extends it. A restriction acts on
    // attempts at the build on trial as if the cap had been lowered, and no vote for the next stage
    // is sent.
    void trial_participation_set(Seconds now, TrialParticipation trial_participation);
    // The coordinator grants this sidecar `max_attempts` attempts per window at a cold endpoint,
    // for `valid_for` seconds. The sidecar's own slow start limit applies as well.
    void slow_start_limit_set(Seconds now, const EndpointId& endpoint, double max_attempts,
                              Seconds valid_for);
    void timer_fired(Seconds now, TimerId timer);
    // The number of requests rejected for this reason since the start; used for the log.
    long rejections(RejectionReason reason) const;

  private:
    struct PolicyState;
    PolicyState& at(Seconds now);
    std::unique_ptr<PolicyState> state_;
};

}  // namespace tideline
