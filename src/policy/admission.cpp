#include "policy/admission.hpp"

#include <algorithm>

#include "policy/tick_timer.hpp"

namespace tideline {
namespace {

constexpr double kMaxWaitSloShare = 0.35;  // of the SLO time, before the first attempt
constexpr Seconds kDeadlineMargin = 2 * kTickInterval;
// A tenant exceeds its quota beyond this multiple of its share, plus this many requests.
constexpr double kQuotaTolerance = 1.25;
constexpr Seconds kQuotaWindow = 5;
constexpr Seconds kServiceRateWindow = 3;
// Jitter draws the advice between this share of the longest advice and all of it.
constexpr double kMinRetryAfterShare = 0.5;
constexpr Seconds kMinWork = 1e-6;  // keeps the quotient finite

}  // namespace

void Admission::request_received(Seconds now, TenantId tenant) {
    received_from_[tenant].add(now, kQuotaWindow);
    received_.add(now, kQuotaWindow);
}

void Admission::request_served(Seconds now) {
    served_.add(now, kServiceRateWindow);
}

void Admission::attempt_ended(const Request& request, Outcome outcome, Seconds now) {
    shedder_.attempt_ended(outcome, now - request.received_at,
                           settings_.of(request.request_class).slo_time,
                           response_times_.recent_relative());
}

AdmissionDecision Admission::decide(Seconds now, const Request& request,
                                    const RequestTable& requests) {
    if (retry_policy_.attempts_used(request)) {
        return AdmissionDecision::rejected(RejectionReason::attempts_used);
    }
    if (shedder_.sheds(random_)) {
        return AdmissionDecision::rejected(RejectionReason::shed);
    }
    const bool under_pressure = shedder_.is_active() || !requests.queue_empty();
    if (request.attempts.empty() && under_pressure && over_quota(now, request.tenant)) {
        return AdmissionDecision::rejected(RejectionReason::over_quota);
    }
    return AdmissionDecision::admitted();
}

// A request that is queued while this process is paused is answered too late, and after a recent
// pause another may follow.
AdmissionDecision Admission::decide_queueing(Seconds now) const {
    return pauses_.recently_paused(now) ? AdmissionDecision::rejected(RejectionReason::paused)
                                        : AdmissionDecision::admitted();
}

AdmissionDecision Admission::decide_wait(Seconds now, const Request& request,
                                         const RequestTable& requests) const {
    const double own_value = value(request);
    const auto ahead =
        requests.count_queued([&](const Request& queued) { return value(queued) >= own_value; });
    const double rate = served_.since(now - kServiceRateWindow) / kServiceRateWindow;
    const Seconds wait = rate > 0 ? static_cast<double>(ahead) / rate : 0;
    return now + wait > latest_useful_send(request)
               ? AdmissionDecision::rejected(RejectionReason::too_late)
               : AdmissionDecision::admitted();
}

Seconds Admission::latest_useful_send(const Request& request) const {
    const Seconds slo_time = settings_.of(request.request_class).slo_time;
    const Seconds longest_wait = request.attempts.empty()
                                     ? kMaxWaitSloShare * slo_time
                                     : slo_time - response_times_.median(request.request_class);
    return std::min(request.received_at + std::max(0.0, longest_wait),
                    request.deadline - kDeadlineMargin);
}

double Admission::value(const Request& request) const {
    const double billed = settings_.of(request.request_class).billed_value;
    if (settings_.valued_by_work) {
        return billed;
    }
    return billed / std::max(kMinWork, response_times_.shortest(request.request_class));
}

Seconds Admission::retry_after() {
    return random_.uniform(kMinRetryAfterShare, 1) * settings_.max_retry_after;
}

bool Admission::over_quota(Seconds now, TenantId tenant) const {
    const auto quota = settings_.quotas.find(tenant);
    const auto received = received_from_.find(tenant);
    if (quota == settings_.quotas.end() || received == received_from_.end()) {
        return false;
    }
    const double own = received->second.since(now - kQuotaWindow);
    const double all = received_.since(now - kQuotaWindow);
    return own > kQuotaTolerance * quota->second * all + kQuotaTolerance;
}

}  // namespace tideline
