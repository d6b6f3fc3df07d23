// Interfaces between a sidecar and the cluster of which it is a member. A sidecar outside a cluster
// uses neither. All calls come from the event loop's thread.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "net/tcp_connection.hpp"
#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// Implemented by the cluster member: receives everything on which the sidecar acts.
class ClusterObserver {
  public:
    virtual ~ClusterObserver() = default;
    // Returns whether an endpoint list of this revision may be applied: false if it is older than
    // one that the cluster passed to the sidecar.
    virtual bool accepts_revision(std::int64_t revision) = 0;
    // The sidecar has applied this list; `addresses` holds the address of each element of
    // `endpoints`.
    virtual void endpoint_list_applied(std::int64_t revision, EndpointListKind kind,
                                       const std::vector<EndpointInfo>& endpoints,
                                       const std::vector<Address>& addresses) = 0;
    // Returns whether the release status may be applied: false if it is older than one that the
    // cluster passed to the sidecar. `cap` is a share of the requests, `age` is in seconds.
    virtual bool release_status_received(Build build, Stage stage, Phase phase, double cap,
                                         Seconds age) = 0;
    // The sidecar sends an attempt to this endpoint.
    virtual void attempted(const EndpointId& endpoint) = 0;
    // The sidecar voted.
    virtual void voted(Vote vote) = 0;
    // The sidecar judged the build on trial to be bad.
    virtual void build_marked() = 0;
};

// Implemented by the sidecar: receives what the cluster knows and decides.
class ObservedSidecar {
  public:
    virtual ~ObservedSidecar() = default;
    // Applies a complete list from other members; `addresses` holds the address of each element of
    // `endpoints`.
    virtual void apply_endpoint_list(std::int64_t revision,
                                     const std::vector<EndpointInfo>& endpoints,
                                     const std::vector<Address>& addresses) = 0;
    // Applies a release stage that other members know; `age` is the age of that information in
    // seconds.
    virtual void apply_stage(Build build, Stage stage, Phase phase, double cap, Seconds age) = 0;
    // Sets whether and how the sidecar takes part in the trial of a build.
    virtual void set_trial_participation(TrialParticipation participation) = 0;
    // Limits the attempts that the sidecar sends to the endpoint in a slow-start window to
    // `max_attempts`, for `valid` seconds.
    virtual void set_slow_start_limit(const EndpointId& endpoint, double max_attempts,
                                      Seconds valid) = 0;

    // The guard cleared the attempt: it is sent.
    virtual void attempt_cleared(RequestId request, AttemptNumber attempt) = 0;
    // The guard refused the attempt: it is not sent, and its request is rejected with the advice to
    // retry after `retry_after` seconds.
    virtual void attempt_refused(RequestId request, Seconds retry_after) = 0;
    // The guard deferred the attempt: it is not sent, and its request waits for the outcome of
    // another sidecar's attempt.
    virtual void attempt_deferred(RequestId request) = 0;

    // Answers the waiting request with the answer to another sidecar's attempt.
    virtual void answer_found(RequestId request, std::string_view answer) = 0;
    // Routes the waiting request again; `earlier` lists the attempts already made.
    virtual void request_returned(RequestId request, const std::vector<Attempt>& earlier) = 0;
    // Fails the waiting request because it can't be known whether it took effect.
    virtual void effect_unknown(RequestId request) = 0;
};

}  // namespace tideline::net
