#include "policy/outlier_ejection.hpp"

#include <algorithm>

namespace tideline {
namespace {

constexpr Seconds kInitialEjectionDuration = 0.5;
// About the delay until endpoint lists show that an endpoint is gone.
constexpr Seconds kMaxEjectionDuration = 6;
constexpr Seconds kOverloadEjectionDuration = 0.1;  // after the endpoint rejected an attempt
constexpr int kEjectionFailureThreshold = 5;        // in a row; too many to be due to chance
// How many sidecars of the fleet log an ejection, on average.
constexpr double kExpectedLoggingSidecars = 8;
constexpr double kMinJitterFactor = 0.75;  // bounds of the random factor of a duration
constexpr double kMaxJitterFactor = 1.25;

}  // namespace

const char* ejection_reason_name(EjectionReason reason) {
    switch (reason) {
        case EjectionReason::consecutive_failures:
            return "consecutive_failures";
        case EjectionReason::connection_broken:
            return "connection_broken";
        case EjectionReason::unreachable:
            return "unreachable";
        case EjectionReason::no_answer:
            return "no_answer";
        case EjectionReason::health_check_failed:
            return "health_check_failed";
    }
    return "unknown";
}

void OutlierEjection::attempt_succeeded(Seconds now) {
    response_started(now);
    consecutive_failures_ = 0;
}

void OutlierEjection::response_started(Seconds now) {
    last_answer_time_ = now;
    ejection_duration_ = 0;
    ejected_until_ = kNever;
    single_attempt_only_ = false;
    health_check_sent_ = false;
}

bool OutlierEjection::attempt_failed(Seconds now) {
    last_answer_time_ = now;
    ++consecutive_failures_;
    return consecutive_failures_ >= (ejection_duration_ > 0 ? 1 : kEjectionFailureThreshold);
}

void OutlierEjection::attempt_rejected(Seconds now, RandomSource& random) {
    last_answer_time_ = now;
    const Seconds pause =
        kOverloadEjectionDuration * random.uniform(kMinJitterFactor, kMaxJitterFactor);
    ejected_until_ = std::max(ejected_until_, now + pause);
}

EjectionLog OutlierEjection::eject(Seconds now, double sidecars, RandomSource& random) {
    if (now < ejected_until_) {
        return EjectionLog::skip;
    }
    const Seconds wanted =
        ejection_duration_ == 0 ? kInitialEjectionDuration : 2 * ejection_duration_;
    ejection_duration_ = std::min(kMaxEjectionDuration, wanted);
    const bool logged = ejection_duration_ >= kMaxEjectionDuration &&
                        random.uniform(0, 1) < kExpectedLoggingSidecars / sidecars;
    ejected_until_ = now + ejection_duration_ * random.uniform(kMinJitterFactor, kMaxJitterFactor);
    single_attempt_only_ = false;
    health_check_sent_ = false;
    return logged ? EjectionLog::write : EjectionLog::skip;
}

RecoveryStep OutlierEjection::next_recovery_step(Seconds now, bool health_checks_allowed) {
    if (ejection_duration_ == 0 || single_attempt_only_ || now < ejected_until_) {
        return RecoveryStep::none;
    }
    if (!health_checks_allowed) {
        single_attempt_only_ = true;
        return RecoveryStep::none;
    }
    if (health_check_sent_) {
        return RecoveryStep::none;
    }
    health_check_sent_ = true;
    return RecoveryStep::send_health_check;
}

}  // namespace tideline
