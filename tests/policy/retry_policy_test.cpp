// Tests of where a request may be attempted again.
#include "policy/retry_policy.hpp"

#include <catch2/catch.hpp>

#include "policy/delay_bounds.hpp"
#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

PolicySettings settings_with(const std::string& effect, const std::string& group) {
    Settings settings = basic_settings();
    settings["operations.0.effect"] = effect;
    settings["operations.0.group"] = group;
    return PolicySettings(settings);
}

Request attempted_at(const EndpointInfo& first, Seconds sent) {
    Request request;
    Attempt attempt;
    attempt.endpoint = first;
    attempt.sent = sent;
    attempt.ended = true;
    request.attempts.push_back(attempt);
    return request;
}

TEST_CASE("an idempotent request may be repeated anywhere") {
    const PolicySettings settings = settings_with("idempotent", "cell");
    const RetryPolicy policy(settings);
    const Request request = attempted_at(endpoint("a", 1, 0, 0), 0);
    CHECK(policy.decide(1000, request, endpoint("b", 1, 0, 1)) == RepeatDecision::allowed);
    CHECK(policy.safe_to_reject(request));
}

TEST_CASE("a request with side effects is not repeated once it may have run") {
    const PolicySettings settings = settings_with("side-effecting", "all");
    const RetryPolicy policy(settings);
    Request request = attempted_at(endpoint("a", 1), 0);
    CHECK(policy.decide(0, request, endpoint("a", 1)) == RepeatDecision::side_effect);
    CHECK_FALSE(policy.safe_to_reject(request));
    request.attempts[0].may_have_run = false;
    CHECK(policy.decide(0, request, endpoint("a", 1)) == RepeatDecision::allowed);
    CHECK(policy.safe_to_reject(request));
}

// Guards against a repeat that is decided within the window and arrives after it.
TEST_CASE("a fingerprinted request is repeated only if the repeat arrives within its window") {
    const PolicySettings settings = settings_with("fingerprinted", "all");
    const RetryPolicy policy(settings);
    const Request request = attempted_at(endpoint("a", 1), 10);
    const Seconds latest = 12 - kMaxSendDelay;  // the window of 2 s, less the time to send
    CHECK(policy.decide(latest - 0.001, request, endpoint("b", 1)) == RepeatDecision::allowed);
    CHECK(policy.decide(latest + 0.001, request, endpoint("b", 1)) == RepeatDecision::window_over);
}

// Guards against counting the window from another attempt than the first that may have run.
TEST_CASE("the window of a fingerprinted request counts from the first attempt that may have run") {
    const PolicySettings settings = settings_with("fingerprinted", "all");
    const RetryPolicy policy(settings);
    Request request = attempted_at(endpoint("a", 1), 10);
    request.attempts.push_back(attempted_at(endpoint("b", 1), 11).attempts[0]);
    CHECK(policy.decide(11.7, request, endpoint("c", 1)) == RepeatDecision::allowed);
    CHECK(policy.decide(11.9, request, endpoint("c", 1)) == RepeatDecision::window_over);
    request.attempts[0].may_have_run = false;
    CHECK(policy.decide(11.9, request, endpoint("c", 1)) == RepeatDecision::allowed);
}

TEST_CASE("a fingerprinted request is repeated where the repeat is recognised only") {
    const bool by_cell = GENERATE(false, true);
    const PolicySettings settings = settings_with("fingerprinted", by_cell ? "cell" : "location");
    const RetryPolicy policy(settings);
    const Request request = attempted_at(endpoint("a", 1, 0, 0), 10);
    EndpointInfo same_location = endpoint("b", 1, 0, 0);
    same_location.cell = Cell{7};
    CHECK(policy.decide(10, request, endpoint("b", 1, 0, 0)) == RepeatDecision::allowed);
    CHECK(policy.decide(10, request, same_location) ==
          (by_cell ? RepeatDecision::outside_cell : RepeatDecision::allowed));
    CHECK(policy.decide(10, request, endpoint("b", 1, 0, 1)) ==
          (by_cell ? RepeatDecision::outside_cell : RepeatDecision::outside_location));
}

TEST_CASE("attempts by other sidecars count towards the maximum of attempts") {
    const PolicySettings settings = settings_with("idempotent", "all");
    const RetryPolicy policy(settings);
    Request request;
    request.attempts.resize(3);
    CHECK_FALSE(policy.attempts_used(request));
    request.attempts.resize(4);
    CHECK(policy.attempts_used(request));
}

}  // namespace
}  // namespace tideline::test
