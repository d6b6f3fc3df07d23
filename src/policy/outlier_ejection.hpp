// Tracks the health of one endpoint. An endpoint that fails is ejected for a time that doubles with
// each ejection. After that a health check, where these are allowed, and then a single attempt
// decide whether it is healthy again.
#pragma once

#include "policy/random_source.hpp"
#include "policy/types.hpp"

namespace tideline {

enum class EjectionReason {
    consecutive_failures,
    connection_broken,
    unreachable,
    no_answer,
    health_check_failed,
};
const char* ejection_reason_name(EjectionReason reason);

// What to do about an endpoint whose ejection is over.
enum class RecoveryStep { none, send_health_check };

// Whether an ejection is to be logged. All sidecars see the same failures, so only some of them log
// it.
enum class EjectionLog { skip, write };

class OutlierEjection {
  public:
    void attempt_succeeded(Seconds now);
    // The endpoint began to answer; the outcome of the attempt is not known yet.
    void response_started(Seconds now);
    // An attempt failed. Returns whether so many failed in a row that the endpoint has to be
    // ejected: an endpoint that fails requests at once looks idle and would attract all of them.
    bool attempt_failed(Seconds now);
    // The endpoint rejected an attempt as overloaded; it gets no attempts for a moment.
    void attempt_rejected(Seconds now, RandomSource& random);
    // Ejects the endpoint, unless it is already ejected.
    EjectionLog eject(Seconds now, double sidecars, RandomSource& random);

    // To be called at each tick while the endpoint is listed as ready.
    RecoveryStep next_recovery_step(Seconds now, bool health_checks_allowed);
    bool awaits_health_check() const {
        return health_check_sent_;
    }
    void health_check_succeeded() {
        single_attempt_only_ = true;
    }

    bool is_ejected(Seconds now) const {
        return now < ejected_until_ || (ejection_duration_ > 0 && !single_attempt_only_);
    }
    // After an ejection the endpoint gets one attempt at a time until it answers.
    bool allows_single_attempt_only() const {
        return single_attempt_only_;
    }
    Seconds last_answer_time() const {
        return last_answer_time_;
    }

  private:
    Seconds last_answer_time_ = kNever;
    Seconds ejected_until_ = kNever;
    Seconds ejection_duration_ = 0;  // 0: answered since the last ejection
    int consecutive_failures_ = 0;
    bool single_attempt_only_ = false;
    bool health_check_sent_ = false;
};

}  // namespace tideline
