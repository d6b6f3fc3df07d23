// Tests of how an endpoint is picked.
#include "policy/load_balancer.hpp"

#include <catch2/catch.hpp>
#include <map>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

struct LoadBalancerUnderTest {
    explicit LoadBalancerUnderTest(const std::vector<EndpointInfo>& list,
                                   const Settings& raw = basic_settings())
        : settings(raw) {
        endpoints.update(0, EndpointListKind::complete, list);
    }
    Endpoint& at(const std::string& id) {
        return *endpoints.find(EndpointId{id});
    }
    std::string pick(const Request& request = {}) {
        const Endpoint* endpoint = balancer.pick(1, request);
        return endpoint ? endpoint->info.id.value : "none";
    }

    PolicySettings settings;
    RandomSource random{5};
    EndpointSet endpoints;
    EndpointListFreshness freshness{settings.list_bounds};
    ReleaseState release;
    ResponseTimes response_times{settings};
    RetryPolicy retry_policy{settings};
    SlowStart slow_start{settings, 0};
    ExposureCap exposure{settings, endpoints, release, random, 0};
    LoadBalancer balancer{{settings, endpoints, freshness, response_times, retry_policy, slow_start,
                           exposure, random}};
};

TEST_CASE("an ejected, full or draining endpoint is not picked") {
    EndpointInfo draining = endpoint("draining", 1);
    draining.state = EndpointState::draining;
    LoadBalancerUnderTest test(
        {endpoint("ejected", 1), endpoint("full", 1), draining, endpoint("free", 1)});
    test.at("ejected").health.eject(1, 1, test.random);
    test.at("full").in_flight = 4;
    for (int i = 0; i < 50; ++i) {
        CHECK(test.pick() == "free");
    }
    test.at("free").in_flight = 4;
    CHECK(test.pick() == "none");
    CHECK(test.balancer.has_possible_endpoint(1, Request{}));
}

TEST_CASE("an endpoint that the request was already sent to is the last choice") {
    LoadBalancerUnderTest test({endpoint("a", 1), endpoint("b", 1)});
    Request request;
    request.attempts.emplace_back().endpoint = endpoint("a", 1);
    for (int i = 0; i < 50; ++i) {
        CHECK(test.pick(request) == "b");
    }
    test.at("b").in_flight = 4;
    CHECK(test.pick(request) == "a");
}

TEST_CASE("requests spread over equal endpoints, and by weight over unequal ones") {
    EndpointInfo heavy = endpoint("heavy", 1);
    heavy.weight = 3;
    LoadBalancerUnderTest test({endpoint("a", 1), endpoint("b", 1), heavy});
    std::map<std::string, int> picked;
    for (int i = 0; i < 5000; ++i) {
        ++picked[test.pick()];
    }
    // Among exponential draws, each endpoint has the lowest with a probability proportional to its
    // weight.
    CHECK(picked["a"] == Approx(1000).margin(150));
    CHECK(picked["b"] == Approx(1000).margin(150));
    CHECK(picked["heavy"] == Approx(3000).margin(150));
}

TEST_CASE("an endpoint at another location costs more where crossing has a price") {
    const bool priced = GENERATE(false, true);
    Settings raw = basic_settings();
    raw["prices.cross_location"] = priced ? 1.0 : 0.0;
    LoadBalancerUnderTest test({endpoint("near", 1, 0, 0), endpoint("far", 1, 0, 1)}, raw);
    int far = 0;
    for (int i = 0; i < 4600; ++i) {
        far += test.pick() == "far" ? 1 : 0;
    }
    CHECK(far == Approx(priced ? 2000 : 2300).margin(150));
}

TEST_CASE("a build whose cap is 0 gets nothing, and nothing waits for it") {
    LoadBalancerUnderTest test({endpoint("new", 2)});
    test.release.update({Build{2}, Stage{0}, Phase::reverting, 0, 0}, 0, 0.25);
    CHECK(test.pick() == "none");
    CHECK_FALSE(test.balancer.has_possible_endpoint(1, Request{}));
}

}  // namespace
}  // namespace tideline::test
