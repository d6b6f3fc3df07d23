// Health of one endpoint. An endpoint that fails is ejected for a time that doubles; after that a
// health check, where these are allowed, and then a single attempt decide whether it is back.
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

// Whether an ejection is to be logged. All sidecars see the same, so only some log it.
enum class EjectionLog { skip, write };

class OutlierEjection {
  public:
    // An attempt succeeded.
    void attempt_succeeded(Seconds now);
    // The endpoint began to answer; its result is not known yet.
    void response_started(Seconds now);
    // An attempt failed. Returns whether so many failed in a row that it has to be ejected. Work
    // that fails at once makes an endpoint look idle and draws all requests to it.
    bool attempt_failed(Seconds now);
    // The endpoint rejected an attempt: it gets none for a moment.
    void attempt_rejected(Seconds now, RandomSource& random);
    EjectionLog eject(Seconds now, double sidecars, RandomSource& random);

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
    // Back from an ejection: one attempt at a time until it answers.
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
