// Tests of what is known about the listed endpoints, and when it is dropped.
#include "policy/endpoint_set.hpp"

#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

TEST_CASE("a complete list removes what it does not name, and changes do not") {
    EndpointSet endpoints;
    endpoints.update(0, EndpointListKind::complete, {endpoint("a", 1), endpoint("b", 1)});
    endpoints.find(EndpointId{"a"})->in_flight = 1;
    endpoints.update(0, EndpointListKind::changes, {endpoint("c", 1)});
    CHECK(endpoints.find(EndpointId{"a"})->info.state == EndpointState::ready);
    endpoints.update(0, EndpointListKind::complete, {endpoint("c", 1)});
    CHECK(endpoints.find(EndpointId{"a"})->info.state == EndpointState::removed);
    CHECK(endpoints.find(EndpointId{"b"}) == nullptr);  // no attempts in flight, never answered
    CHECK(endpoints.max_ready_count() == 3);
}

TEST_CASE("a removed endpoint is forgotten ten seconds after its last answer") {
    EndpointSet endpoints;
    endpoints.update(0, EndpointListKind::complete, {endpoint("a", 1)});
    endpoints.find(EndpointId{"a"})->health.attempt_succeeded(5);
    endpoints.update(15, EndpointListKind::complete, {});
    CHECK(endpoints.find(EndpointId{"a"}) != nullptr);
    endpoints.update(15.1, EndpointListKind::complete, {});
    CHECK(endpoints.find(EndpointId{"a"}) == nullptr);
}

TEST_CASE("an id that comes back with another build is unknown, but for what is in flight") {
    EndpointSet endpoints;
    endpoints.update(0, EndpointListKind::complete, {endpoint("a", 1, 10)});
    Endpoint& known = *endpoints.find(EndpointId{"a"});
    known.in_flight = 2;
    known.health.attempt_succeeded(5);
    endpoints.update(6, EndpointListKind::changes, {endpoint("a", 1, 10)});
    CHECK(known.health.last_answer_time() == 5);
    endpoints.update(6, EndpointListKind::changes, {endpoint("a", 2, 10)});
    CHECK(known.health.last_answer_time() == kNever);
    CHECK(known.in_flight == 2);
    CHECK(endpoints.started_at(EndpointId{"a"}) == 10);
    CHECK(endpoints.started_at(EndpointId{"unknown"}) == 0);
}

TEST_CASE("a removed endpoint's build does not put later builds on trial") {
    EndpointSet endpoints;
    endpoints.update(0, EndpointListKind::complete, {endpoint("a", 1), endpoint("b", 2)});
    CHECK(endpoints.lists_older_build_than(Build{2}));
    CHECK_FALSE(endpoints.lists_older_build_than(Build{1}));
    endpoints.find(EndpointId{"a"})->in_flight = 1;
    endpoints.update(0, EndpointListKind::complete, {endpoint("b", 2)});
    CHECK_FALSE(endpoints.lists_older_build_than(Build{2}));
}

}  // namespace
}  // namespace tideline::test
