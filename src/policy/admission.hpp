// Admission control: decides which requests are sent or queued, and which are rejected and for what
// reason.
#pragma once

#include <map>
#include <optional>

#include "policy/load_shedder.hpp"
#include "policy/pause_detector.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"
#include "policy/records.hpp"
#include "policy/request_table.hpp"
#include "policy/response_times.hpp"
#include "policy/retry_policy.hpp"
#include "policy/samples.hpp"

namespace tideline {

// The result of an admission check: admitted, or rejected for a reason.
class AdmissionDecision {
  public:
    static AdmissionDecision admitted() {
        return AdmissionDecision(std::nullopt);
    }
    static AdmissionDecision rejected(RejectionReason reason) {
        return AdmissionDecision(reason);
    }
    bool is_admitted() const {
        return !reason_;
    }
    RejectionReason reason() const {
        return *reason_;
    }

  private:
    explicit AdmissionDecision(std::optional<RejectionReason> reason) : reason_(reason) {}
    std::optional<RejectionReason> reason_;
};

class Admission {
  public:
    Admission(const PolicySettings& settings, const ResponseTimes& response_times,
              const RetryPolicy& retry_policy, const PauseDetector& pauses, RandomSource& random)
        : settings_(settings),
          response_times_(response_times),
          retry_policy_(retry_policy),
          pauses_(pauses),
          random_(random) {}

    void request_received(Seconds now, TenantId tenant);
    void request_served(Seconds now);
    void attempt_ended(const Request& request, Outcome outcome, Seconds now);

    // Decides whether a request is admitted at all, before an endpoint is picked.
    AdmissionDecision decide(Seconds now, const Request& request, const RequestTable& requests);
    // Decides whether this process may queue requests now.
    AdmissionDecision decide_queueing(Seconds now) const;
    // Decides whether the queue ahead of the request leaves it enough time.
    AdmissionDecision decide_wait(Seconds now, const Request& request,
                                  const RequestTable& requests) const;
    // The latest time at which an attempt may still bring an answer within the SLO time.
    Seconds latest_useful_send(const Request& request) const;
    // The value of the request per unit of work. Under pressure the most valuable request is sent
    // first.
    double value(const Request& request) const;
    // When the client of a rejected request should retry; with jitter, so that clients don't retry
    // all at once.
    Seconds retry_after();

  private:
    bool over_quota(Seconds now, TenantId tenant) const;

    const PolicySettings& settings_;
    const ResponseTimes& response_times_;
    const RetryPolicy& retry_policy_;
    const PauseDetector& pauses_;
    RandomSource& random_;
    LoadShedder shedder_;
    EventWindow served_;
    EventWindow received_;
    std::map<TenantId, EventWindow> received_from_;
};

}  // namespace tideline
