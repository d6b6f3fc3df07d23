// The interfaces between a sidecar and the cluster that it is a member of; a sidecar outside a
// cluster uses neither. All calls come from the event loop's thread.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "net/tcp_connection.hpp"
#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// The cluster: notified of everything that the sidecar acts on.
class FleetObserver {
  public:
    virtual ~FleetObserver() = default;
    // Whether a list of this revision may be applied: false if it is older than one that the
    // cluster passed to the sidecar.
    virtual bool takes_revision(std::int64_t revision) = 0;
    // The sidecar has applied this list; `addresses` holds one for each line.
    virtual void endpoint_list_applied(std::int64_t revision, EndpointListKind kind,
                                       const std::vector<EndpointInfo>& endpoints,
                                       const std::vector<Address>& addresses) = 0;
    // Whether the release status may be applied: false if it is older than one that the cluster
    // passed to the sidecar. `cap`: share of the requests; `age`: s.
    virtual bool release_status_received(Build build, Stage stage, Phase phase, double cap,
                                         Seconds age) = 0;
    // An attempt is sent to this endpoint.
    virtual void attempted(const EndpointId& endpoint) = 0;
    virtual void voted(Vote vote) = 0;
    // The sidecar judged the build on trial to be bad.
    virtual void build_condemned() = 0;
};

// The sidecar: controlled by the cluster.
class ObservedSidecar {
  public:
    virtual ~ObservedSidecar() = default;
    // Applies a complete list that other members have; `addresses` holds one for each line.
    virtual void apply_endpoint_list(std::int64_t revision,
                                     const std::vector<EndpointInfo>& endpoints,
                                     const std::vector<Address>& addresses) = 0;
    // Applies a release stage that other members know of; `age`: of that knowledge, s.
    virtual void apply_stage(Build build, Stage stage, Phase phase, double cap, Seconds age) = 0;
    virtual void set_trial_participation(TrialParticipation participation) = 0;
    // For `valid` s at most `max_attempts` attempts go to the endpoint in a slow-start window.
    virtual void set_slow_start_limit(const EndpointId& endpoint, double max_attempts,
                                      Seconds valid) = 0;

    // Decisions of the duplicate-effect guard on an attempt.
    // The attempt is sent.
    virtual void attempt_cleared(RequestId request, AttemptNumber attempt) = 0;
    // The attempt is not sent, and its request is rejected; `retry_after`: s.
    virtual void attempt_refused(RequestId request, Seconds retry_after) = 0;
    // The attempt is not sent; its request waits for the outcome of another sidecar's attempt.
    virtual void attempt_deferred(RequestId request) = 0;

    // Outcomes for a request that waits.
    // Another sidecar's attempt was answered.
    virtual void answer_found(RequestId request, std::string_view answer) = 0;
    // The request is routed again, with knowledge of the `earlier` attempts.
    virtual void request_returned(RequestId request, const std::vector<Attempt>& earlier) = 0;
    // Whether the request took effect can't be known.
    virtual void effect_unknown(RequestId request) = 0;
};

}  // namespace tideline::net
