// Tests of what many sidecars do together without communicating.
#include <algorithm>
#include <deque>
#include <map>

#include "release_trial_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE(
    "all sidecars together do not overload an endpoint that is warming up, however uneven their "
    "traffic") {
    // Either 4 sidecars with much traffic, or 320 of which each may send only one request in two
    // seconds. The expected number of attempts in a window is 0.6 of what overloads the endpoint:
    // 63 of 105. The standard deviation of the draws is below its square root, 8.
    const auto seed = GENERATE(range(1, 6));
    const std::size_t sidecar_count = GENERATE(4u, 320u);
    Settings settings = basic_settings();
    settings["sidecars"] = static_cast<double>(sidecar_count);
    std::deque<Sidecar> fleet;
    for (std::size_t i = 0; i < sidecar_count; ++i) {
        fleet.emplace_back(settings, static_cast<std::uint64_t>(seed) * 1000 + i);
    }
    // Requests per 0.1 s: 160 per second, 40 per endpoint, which is full load.
    const std::vector<int> requests_per_step = {10, 4, 1, 1};
    std::vector<Seconds> attempt_times;
    Seconds restarted_at = 0;
    for (auto& sidecar : fleet) {
        sidecar.policy.endpoints_updated(
            sidecar.now, EndpointListKind::cached,
            {endpoint("a", 1), endpoint("b", 1), endpoint("c", 1), endpoint("d", 1)});
    }
    for (int step = 0; step < 140; ++step) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            Sidecar& sidecar = fleet[i];
            if (step == 62 && i == 0) {
                restarted_at = sidecar.now - 0.2;
            }
            if (step == 62) {
                sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::changes,
                                                 {endpoint("d", 1, restarted_at)});
            }
            const std::size_t before = sidecar.host.sent.size();
            const int due = sidecar_count == 4 ? requests_per_step[i]
                                               : (static_cast<std::size_t>(step) * 7 + i) % 20 == 0;
            for (int k = 0; k < due; ++k) {
                sidecar.receive_request();
            }
            for (std::size_t k = before; k < sidecar.host.sent.size(); ++k) {
                const SentAttempt sent = sidecar.host.sent[k];
                if (step >= 62 && sent.endpoint.value == "d") {
                    attempt_times.push_back(sidecar.now);
                }
                // The short response times of d attract requests to it.
                sidecar.end_attempt(sent, Outcome::succeeded, 0,
                                    sent.endpoint.value == "d" ? 0.05 : 0.3);
            }
            sidecar.run(0.1);
        }
    }
    // At first the endpoint can serve 0.35 of 40 requests per second; 2.5 times that over 3 s is
    // 105.
    for (std::size_t i = 0; i < attempt_times.size(); ++i) {
        std::size_t within = 0;
        for (std::size_t k = i;
             k < attempt_times.size() && attempt_times[k] <= attempt_times[i] + 3; ++k) {
            ++within;
        }
        // The mean capacity over the window.
        const double capacity =
            0.35 + 0.65 * std::max(0.0, attempt_times[i] + 1.5 - restarted_at) / 4;
        if (attempt_times[i] + 3 < restarted_at + 4) {
            REQUIRE(static_cast<double>(within) <= 2.5 * capacity * 40 * 3);
        }
    }
    CHECK_FALSE(attempt_times.empty());
}

TEST_CASE("hundreds of sidecars do not all pick the same endpoint") {
    std::map<EndpointId, int> first;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        Sidecar sidecar(basic_settings(), seed);
        sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::cached,
                                         {endpoint("a", 1), endpoint("b", 1), endpoint("c", 1),
                                          endpoint("d", 1), endpoint("e", 1)});
        sidecar.receive_request();
        ++first[sidecar.host.sent.at(0).endpoint];
    }
    CHECK(first.size() == 5);  // 60 each are expected, with a standard deviation of 7
    for (const auto& [id, count] : first) {
        CHECK(count < 95);
    }
}

TEST_CASE("the allowances of many sidecars add up to the cap's share, not to one each") {
    // Each sidecar gets 6 requests per window of 3 s. At a cap of 0.1 its share is 0.6 of a
    // request, and about one more is allowed.
    Settings settings = basic_settings();
    settings["release.allowance"] = 3.0;
    double on_trial = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Sidecar sidecar(settings, seed);
        open_trial(sidecar, 0.1);
        sidecar.run(0.02 * static_cast<double>(seed % 50));
        for (int i = 0; i < 24; ++i) {
            sidecar.serve(always_succeeds);
            sidecar.run(0.5);
        }
        on_trial += static_cast<double>(sidecar.sent_to("n") + sidecar.sent_to("m"));
    }
    CHECK(on_trial / (200 * 24) < 0.2);
    CHECK(on_trial / (200 * 24) > 0.05);
}
