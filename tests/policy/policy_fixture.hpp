// Shared by the tests of the policy: basic settings, a host that records the calls of the policy,
// and a sidecar with its own clock.
#pragma once

#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"

namespace tideline::test {

// One idempotent request class, and a release that one sidecar alone judges.
inline Settings basic_settings() {
    return {{"operations.count", 1.0},
            {"operations.0.slo_time", 0.6},
            {"operations.0.time_limit", 2.0},
            {"operations.0.effect", std::string("idempotent")},
            {"operations.0.group", std::string("all")},
            {"operations.0.repeat_window", 2.0},
            {"allowed.dispatches", 4.0},
            {"allowed.come_back", 1.0},
            {"allowed.longest_come_back", 1.0},
            {"release.allowance", 1.0},
            {"release.caps.0", 0.1},
            {"release.counted_by", std::string("all")},
            {"release.guarded_stages", 0.0},
            {"release.moved_by", std::string("count")},
            {"release.least_time", 2.0},
            {"release.vote_life", 6.0},
            {"release.vote_wait", 0.8},
            {"release.window", 3.0},
            {"rules.cold_share", 0.35},
            {"rules.drain_grace", 0.25},
            {"rules.fall_multiple", 2.5},
            {"rules.fall_window", 3.0},
            {"rules.warm_within", 4.0}};
}

// As basic_settings(), with a second request class equal to the first.
inline Settings two_equal_request_classes() {
    Settings settings = basic_settings();
    settings["operations.count"] = 2.0;
    for (const char* setting : {".slo_time", ".time_limit", ".effect", ".group"}) {
        settings[std::string("operations.1") + setting] =
            settings[std::string("operations.0") + setting];
    }
    return settings;
}

// An attempt that the policy asked its host to send.
struct SentAttempt {
    RequestId request;
    EndpointId endpoint;
    Seconds stop_at;
};
// A vote that the policy asked its host to cast.
struct CastVote {
    Build build;
    Stage stage;
    Vote vote;
};

// Records the calls of the policy and does nothing else.
class RecordingHost : public Host {
  public:
    std::vector<SentAttempt> sent;
    std::vector<RequestId> rejected;
    std::vector<RequestId> failed;
    std::vector<CastVote> votes;
    std::vector<std::string> log_entries;
    int watch_requests = 0;
    int health_checks = 0;

    void attempt(RequestId request, const EndpointId& endpoint, Seconds stop_at) override {
        sent.push_back({request, endpoint, stop_at});
    }
    void reject(RequestId request, Seconds) override {
        rejected.push_back(request);
    }
    void fail(RequestId request) override {
        failed.push_back(request);
    }
    void send_health_check(const EndpointId&) override {
        ++health_checks;
    }
    void watch_endpoint_list() override {
        ++watch_requests;
    }
    void vote(Build build, Stage stage, Vote vote) override {
        votes.push_back({build, stage, vote});
    }
    void set_timer(Seconds, TimerId id) override {
        last_timer = id;
    }
    void log_event(const std::string& text) override {
        log_entries.push_back(text);
    }

    TimerId last_timer;
    // Whether a log entry contains this text.
    bool logged(const std::string& part) const {
        for (const auto& entry : log_entries) {
            if (entry.find(part) != std::string::npos) {
                return true;
            }
        }
        return false;
    }
};

// A ready endpoint whose cell has the number of its location.
inline EndpointInfo endpoint(const std::string& name, int build, Seconds started = 0,
                             int location = 0) {
    EndpointInfo info;
    info.id = EndpointId{name};
    info.build = Build{build};
    info.started = started;
    info.location = Location{location};
    info.cell = Cell{location};
    return info;
}

// For serve(): every attempt succeeds.
inline Outcome always_succeeds(const EndpointId&) {
    return Outcome::succeeded;
}

// A policy with a recording host and a clock, in seconds, that fires the policy's timer.
struct Sidecar {
    RecordingHost host;
    Seconds now = 100;
    RoutingPolicy policy;
    std::uint64_t next_request_number = 1;

    explicit Sidecar(const Settings& settings = basic_settings(), std::uint64_t seed = 7)
        : policy(host, settings, seed, now) {}
    // Starts with a cached list of these endpoints, all of build 1, which is released.
    void start_with_released_build(const std::vector<std::string>& names) {
        std::vector<EndpointInfo> endpoints;
        for (const std::string& name : names) {
            endpoints.push_back(endpoint(name, 1));
        }
        policy.endpoints_updated(now, EndpointListKind::cached, endpoints);
        policy.stage_announced(now, Build{1}, Stage{0}, Phase::released, 1, 10);
    }
    // Advances the clock by this time, in steps of 20 ms.
    void run(Seconds span) {
        for (const Seconds until = now + span; now < until;) {
            now += 0.02;
            policy.timer_fired(now, host.last_timer);
        }
    }
    // Receives a request, which the policy may send, queue or reject.
    RequestId receive_request(int class_index = 0, std::optional<ObjectKey> key = {},
                              Seconds budget = 2) {
        const RequestId request{next_request_number++};
        policy.request_arrived(now, request, RequestClass{class_index}, TenantId{0}, key, budget,
                               {});
        return request;
    }
    // Ends the attempt with this outcome, after it took `took` seconds.
    void end_attempt(const SentAttempt& sent, Outcome outcome, int attempt = 0,
                     Seconds took = 0.1) {
        policy.attempt_ended(now, sent.request, AttemptNumber{attempt}, sent.endpoint, outcome,
                             took, outcome == Outcome::succeeded, {});
    }
    // Receives a request and ends its attempt, if one is sent, with the outcome that `outcome_at`
    // gives for the endpoint.
    template <class OutcomeAt>
    void serve(OutcomeAt outcome_at, int class_index = 0, Seconds took = 0.1) {
        const std::size_t before = host.sent.size();
        const RequestId request = receive_request(class_index);
        if (host.sent.size() == before) {
            return;
        }
        const SentAttempt sent = host.sent.back();
        const Outcome outcome = outcome_at(sent.endpoint);
        policy.attempt_ended(now, request, AttemptNumber{0}, sent.endpoint, outcome, took, true,
                             {});
    }
    // Receives this many requests one after the other, each answered successfully after 0.1 s and
    // followed by a pause.
    void serve_steadily(int requests, Seconds pause) {
        for (int i = 0; i < requests; ++i) {
            serve(always_succeeds);
            run(pause);
        }
    }
    std::size_t sent_to(const std::string& name) const {
        std::size_t count = 0;
        for (const SentAttempt& sent : host.sent) {
            count += sent.endpoint.value == name;
        }
        return count;
    }
};

}  // namespace tideline::test
