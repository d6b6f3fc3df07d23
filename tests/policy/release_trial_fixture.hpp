// Shared by the tests of release trials: starts a trial and counts answers of both builds.
#pragma once

#include "policy_fixture.hpp"

namespace tideline::test {

// Lists the endpoints a and b of build 1, and n and m of build 2, which is on trial in its first
// stage with this cap.
inline void open_trial(Sidecar& sidecar, double cap = 1.0) {
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached,
                                     {endpoint("a", 1), endpoint("b", 1)});
    sidecar.policy.stage_announced(sidecar.now, Build{1}, Stage{0}, Phase::released, 1, 10);
    sidecar.run(4);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes,
                                     {endpoint("n", 2), endpoint("m", 2)});
    sidecar.policy.stage_announced(sidecar.now, Build{2}, Stage{0}, Phase::trial, cap, 0);
}
// Serves requests until the given numbers of answers were counted for the build on trial and for
// the earlier one. Of the former `trial_failures` fail, spread evenly.
inline void count_answers(Sidecar& sidecar, int trial_answers, int trial_failures,
                          int earlier_answers) {
    int failed = 0;
    for (int trial_counted = 0, earlier_counted = 0, turns = 0;
         turns < 2000 && (trial_counted < trial_answers || earlier_counted < earlier_answers);
         ++turns) {
        const std::size_t before = sidecar.host.sent.size();
        const RequestId request = sidecar.receive_request();
        if (sidecar.host.sent.size() == before) {
            sidecar.run(0.1);
            continue;
        }
        const SentAttempt sent = sidecar.host.sent.back();
        const bool on_trial = sent.endpoint.value == "n" || sent.endpoint.value == "m";
        const bool wanted =
            on_trial ? trial_counted < trial_answers : earlier_counted < earlier_answers;
        Outcome outcome = wanted ? Outcome::succeeded : Outcome::overloaded;
        if (on_trial && wanted && (trial_counted + 1) * trial_failures / trial_answers > failed) {
            outcome = Outcome::failed;
            ++failed;
        }
        if (wanted) {
            ++(on_trial ? trial_counted : earlier_counted);
        }
        sidecar.policy.attempt_ended(sidecar.now, request, AttemptNumber{0}, sent.endpoint, outcome,
                                     0.1, true, {});
        sidecar.run(0.04);
    }
    sidecar.run(1.1);
}

}  // namespace tideline::test
