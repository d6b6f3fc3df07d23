// Seeded random runs, in which the rules of the auditor must hold after every step.
#include "random_runs.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE("the rules of the auditor hold after every step of random runs") {
    const auto seed = GENERATE(range(1u, 121u));
    CAPTURE(seed);
    RandomRun run(seed);
    RoutingPolicy policy(run, run.settings, seed, run.now);
    run.update_endpoints(policy, EndpointListKind::cached);
    run.announce_stage(policy, false);
    for (int i = 0; i < 1500; ++i) {
        run.step(policy);
    }
    CHECK(run.next_request_number > 500);
}

TEST_CASE("the same events lead to the same actions") {
    std::size_t sent_counts[2];
    for (std::size_t& count : sent_counts) {
        RandomRun run(5);
        RoutingPolicy policy(run, run.settings, 5, run.now);
        run.update_endpoints(policy, EndpointListKind::cached);
        for (int i = 0; i < 1000; ++i) {
            run.step(policy);
        }
        count = run.sent_count;
    }
    CHECK(sent_counts[0] == sent_counts[1]);
}
