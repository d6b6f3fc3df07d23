// Takes each request from its arrival to its final answer: admits it, sends attempts, queues it,
// retries, or rejects it.
#pragma once

#include <optional>
#include <vector>

#include "policy/policy_modules.hpp"
#include "policy/rejection_counters.hpp"
#include "policy/request_table.hpp"

namespace tideline {

// A request as it arrives.
struct NewRequest {
    RequestId id;
    RequestClass request_class;
    TenantId tenant;
    std::optional<ObjectKey> key;
    Seconds budget = 0;
    std::vector<Attempt> earlier_attempts;  // made by other sidecars
};

// The end of an attempt, as the host reports it.
struct AttemptEnd {
    RequestId request;
    AttemptNumber number;
    EndpointId endpoint;
    Outcome outcome = Outcome::succeeded;
    Seconds took = 0;
    bool concluded = false;  // the client has its final answer
};

class RequestRouter {
  public:
    explicit RequestRouter(PolicyModules& modules) : modules_(modules) {}

    void request_arrived(Seconds now, const NewRequest& request);
    // Takes over a request that another sidecar has received and counted.
    void request_handed_over(Seconds now, const NewRequest& request);
    void stream_started(Seconds now, RequestId id, AttemptNumber number);
    void attempt_ended(Seconds now, const AttemptEnd& end);
    // Whether an attempt that waited for a connection may still be sent. Meanwhile its endpoint may
    // have been drained or replaced, the cap may have fallen, or the time within which repeats are
    // recognised may have ended.
    bool may_still_send(Seconds now, RequestId id, AttemptNumber number);
    void request_abandoned(RequestId id);
    void serve_queue(Seconds now);

    bool queue_empty() const {
        return requests_.queue_empty();
    }
    long rejections(RejectionReason reason) const {
        return rejections_.of(reason);
    }
    void eject(Seconds now, Endpoint& endpoint, EjectionReason reason);

  private:
    void dispatch(Seconds now, RequestId id, Request& request);
    AdmissionDecision enqueue(Seconds now, RequestId id, Request& request);
    void send(Seconds now, RequestId id, Request& request, Endpoint& endpoint);
    void reject(RequestId id, Request& request, RejectionReason reason);
    void update_health(Seconds now, Endpoint& endpoint, const Attempt& attempt, Outcome outcome);
    void count_success(Seconds now, const Request& request, const Attempt& attempt,
                       Endpoint& endpoint, Seconds took);
    void continue_request(Seconds now, RequestId id, Request& request, const Attempt& attempt,
                          Outcome outcome);

    PolicyModules& modules_;
    RequestTable requests_;
    RejectionCounters rejections_;
};

}  // namespace tideline
