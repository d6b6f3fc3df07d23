#include "policy/slow_start.hpp"

#include <algorithm>

namespace tideline {
namespace {

// All sidecars together may send a cold endpoint this fraction of what would overload it.
constexpr double kSafeOverloadFraction = 0.6;
// An endpoint on trial or cold is preferred up to this multiple of an even share of its present
// capacity.
constexpr double kInitialLoadMultiple = 1.7;
constexpr Seconds kServedWindow = 10;  // window in which served requests are counted
// Fraction of the slow start before which the answers of an endpoint are no evidence.
constexpr double kMinEvidenceAgeFraction = 0.5;

}  // namespace

void SlowStart::request_served(Seconds now) {
    served_.add(now, kServedWindow + settings_.window);
}

bool SlowStart::is_warming_up(const EndpointInfo& endpoint, Seconds now) const {
    return endpoint.started > 0 && now - endpoint.started < settings_.duration;
}

bool SlowStart::is_too_young_for_evidence(const EndpointInfo& endpoint, Seconds now) const {
    return endpoint.started > 0 &&
           now - endpoint.started < kMinEvidenceAgeFraction * settings_.duration;
}

double SlowStart::capacity(const EndpointInfo& endpoint, Seconds now) const {
    if (!is_warming_up(endpoint, now)) {
        return 1;
    }
    const double initial = settings_.initial_capacity;
    const Seconds age = std::max(0.0, now - endpoint.started);
    return initial + (1 - initial) * age / settings_.duration;
}

// Counts requests and does not weigh them by work, because light requests would then always fit.
double SlowStart::even_share(Seconds now, std::size_t endpoints) const {
    const Seconds observed_time = std::clamp(now - started_at_, settings_.window, kServedWindow);
    return served_.since(now - observed_time) / observed_time * settings_.window /
           static_cast<double>(endpoints);
}

bool SlowStart::within_own_limit(SlowStartUsage& usage, const EndpointInfo& endpoint,
                                 double even_share, Seconds now, RandomSource& random) const {
    const double multiple = kSafeOverloadFraction * settings_.overload_multiple;
    return is_below_limit(multiple, usage, endpoint, even_share, now, random);
}

bool SlowStart::within_initial_load(SlowStartUsage& usage, const EndpointInfo& endpoint,
                                    double even_share, Seconds now, RandomSource& random) const {
    return is_below_limit(kInitialLoadMultiple, usage, endpoint, even_share, now, random);
}

bool SlowStart::is_below_limit(double multiple, SlowStartUsage& usage, const EndpointInfo& endpoint,
                               double even_share, Seconds now, RandomSource& random) const {
    const double rounding = usage.rounding.value(now, settings_.window, random);
    const double sent = usage.sent.since(now - settings_.window);
    // About one request per window from all sidecars together is safe even if nothing else is
    // known.
    if (sent == 0 && rounding > 1 - 1 / sidecars_) {
        return true;
    }
    return sent + 1 <= multiple * capacity(endpoint, now) * even_share + rounding;
}

bool SlowStart::within_grant(const SlowStartUsage& usage, Seconds now) const {
    return now >= usage.granted_until ||
           usage.sent.since(now - settings_.window) + 1 <= usage.granted_attempts;
}

void SlowStart::attempt_sent(SlowStartUsage& usage, Seconds now) const {
    usage.sent.add(now, settings_.window);
}

}  // namespace tideline
