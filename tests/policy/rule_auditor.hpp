// Checks the rules of the routing policy at every call that the policy makes. The auditor keeps its
// own records and does not query the policy. Also draws the random settings of a run.
//
// Rule 1: each request is answered exactly once, by its deadline. Rule 2: a request that may have
// run is repeated only where its effect can't happen twice. Rule 3: a draining or removed endpoint
// gets no new attempts after the grace. Rule 5: a build gets no requests while its cap is 0. The
// auditor also checks the exposure cap, guarded stages and one-way keys.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "policy/delay_bounds.hpp"
#include "policy_fixture.hpp"

namespace tideline::test {

// An attempt as the auditor saw it sent and ended.
struct AuditedAttempt {
    EndpointInfo endpoint;
    Seconds sent_at = 0;
    Seconds stop_at = 0;
    Seconds ends_at = 0;
    Outcome outcome = Outcome::succeeded;
    bool ended = false;
    bool never_ran = false;
    bool streaming = false;
};
// A request in flight, as the auditor recorded it.
struct AuditedRequest {
    int class_index = 0;
    std::optional<ObjectKey> key;
    Seconds deadline = 0;
    std::vector<AuditedAttempt> attempts;
    int answers = 0;
    bool abandoned = false;
};

// A host that checks the rules at each call and draws the outcome of each attempt. All draws come
// from one generator, in the order of the calls.
class RuleAuditor : public Host {
  public:
    std::mt19937 rng;
    Settings settings = basic_settings();
    Seconds now = 50;
    std::map<RequestId, AuditedRequest> requests;
    std::map<EndpointId, EndpointInfo> listed;
    // When the endpoint was first listed as draining or removed.
    std::map<EndpointId, Seconds> not_ready_since;
    std::vector<std::pair<Seconds, TimerId>> timers;
    std::vector<std::pair<Seconds, int>> received_requests;
    struct ExposedAttempt {
        Seconds at;
        int counting_class;
        Build build;
    };
    std::vector<ExposedAttempt> exposed;
    std::optional<std::pair<Build, Phase>> release;
    Stage stage;
    double cap = 0;
    double cap_before = 0;
    Seconds cap_lowered_at = -1e9;
    Seconds list_reply_at = -1;
    bool vote_in_flight = false;
    std::map<ObjectKey, Build> answered_by;
    std::size_t sent_count = 0;

    explicit RuleAuditor(unsigned seed) : rng(seed) {
        draw_settings();
    }

    int pick(int n) {
        return static_cast<int>(rng() % static_cast<unsigned>(n));
    }
    bool chance(double p) {
        return static_cast<double>(rng() % 10000) < p * 10000;
    }
    double number_setting(const std::string& name) const {
        return std::get<double>(settings.at(name));
    }
    std::string text_setting(const std::string& name) const {
        return std::get<std::string>(settings.at(name));
    }
    std::string class_setting(int class_index, const char* what) const {
        return text_setting("operations." + std::to_string(class_index) + what);
    }
    int counting_class(int class_index) const {
        return text_setting("release.counted_by") == "operation" ? class_index : 0;
    }

    void draw_settings() {
        const int class_count = 1 + pick(4);
        settings["operations.count"] = class_count * 1.0;
        const char* effects[] = {"idempotent", "fingerprinted", "side-effecting"};
        const char* groups[] = {"all", "location", "cell"};
        for (int i = 0; i < class_count; ++i) {
            const std::string at = "operations." + std::to_string(i);
            settings[at + ".slo_time"] = 0.1 + 0.1 * pick(8);
            settings[at + ".time_limit"] = 2.0;
            settings[at + ".effect"] = std::string(effects[pick(3)]);
            settings[at + ".group"] = std::string(groups[pick(3)]);
            settings[at + ".repeat_window"] = 0.1 + 0.3 * pick(5);
        }
        settings["allowed.dispatches"] = 1.0 + pick(5);
        settings["allowed.probes"] = 1.0 * pick(2);
        settings["allowed.come_back"] = 1.0 * pick(2);
        settings["list.told"] = std::string(pick(2) ? "asked" : "unasked");
        settings["release.allowance"] = 1.0 * pick(4);
        const double caps[] = {0, 0.05, 0.3, 1};
        settings["release.caps.0"] = caps[pick(4)];
        settings["release.counted_by"] = std::string(pick(2) ? "operation" : "all");
        settings["release.guarded_stages"] = 1.0 * pick(3);
        settings["release.one_way_keys"] = 1.0 * pick(2);
        settings["release.moved_by"] = std::string(pick(3) ? "count" : "clock");
        settings["release.flagged_share"] = 0.15 * pick(2);
        settings["prices.cross_location"] = 0.04 * pick(2);
        if (pick(2)) {
            settings["customers.count"] = 1.0;
            settings["customers.0.share"] = 0.5;
            settings["over_share_value"] = 0.1;
        }
    }

    // The calls of the policy.
    void attempt(RequestId request, const EndpointId& id, Seconds stop_at) override {
        ++sent_count;
        REQUIRE(requests.contains(request));
        AuditedRequest& audited_request = requests[request];
        REQUIRE(audited_request.answers == 0);  // rule 1
        REQUIRE(listed.contains(id));
        REQUIRE(audited_request.attempts.size() <
                static_cast<std::size_t>(number_setting("allowed.dispatches")));
        for (const AuditedAttempt& audited_attempt : audited_request.attempts) {
            REQUIRE(audited_attempt.ended);  // no two attempts in flight at once
        }
        const EndpointInfo& endpoint = listed[id];
        if (not_ready_since.contains(id)) {
            REQUIRE(now <= not_ready_since[id] + number_setting("rules.drain_grace"));  // rule 3
        }
        const std::string effect = class_setting(audited_request.class_index, ".effect");
        const std::string group = class_setting(audited_request.class_index, ".group");
        for (const AuditedAttempt& audited_attempt : audited_request.attempts) {  // rule 2
            if (audited_attempt.never_ran || effect == "idempotent") {
                continue;
            }
            REQUIRE(effect == "fingerprinted");
            REQUIRE(now + kMaxSendDelay <=
                    audited_attempt.sent_at +
                        number_setting("operations." + std::to_string(audited_request.class_index) +
                                       ".repeat_window"));
            if (group == "location") {
                REQUIRE(endpoint.location == audited_attempt.endpoint.location);
            }
            if (group == "cell") {
                REQUIRE(endpoint.cell == audited_attempt.endpoint.cell);
            }
        }
        audit_exposure(audited_request, endpoint, effect);
        AuditedAttempt audited_attempt;
        audited_attempt.endpoint = endpoint;
        audited_attempt.sent_at = now;
        audited_attempt.stop_at = std::min(stop_at, audited_request.deadline);
        const Outcome outcomes[] = {Outcome::succeeded, Outcome::failed,      Outcome::overloaded,
                                    Outcome::broken,    Outcome::unreachable, Outcome::never_sent,
                                    Outcome::cancelled};
        audited_attempt.outcome = chance(0.75) ? Outcome::succeeded : outcomes[pick(6)];
        audited_attempt.ends_at = now + 0.01 + 0.01 * pick(chance(0.1) ? 400 : 20);
        if (audited_attempt.ends_at > audited_attempt.stop_at) {
            audited_attempt.ends_at = audited_attempt.stop_at;
            audited_attempt.outcome = Outcome::timed_out;
        }
        audited_request.attempts.push_back(audited_attempt);
    }
    void audit_exposure(const AuditedRequest& audited_request, const EndpointInfo& endpoint,
                        const std::string& effect) {
        if (!release) {
            return;
        }
        const auto [build, phase] = *release;
        if (number_setting("release.one_way_keys") != 0 && audited_request.key &&
            (phase == Phase::trial || phase == Phase::released)) {
            if (const auto it = answered_by.find(*audited_request.key);
                it != answered_by.end() && it->second == build) {
                REQUIRE(endpoint.build >= build);
            }
        }
        if (endpoint.build < build || (endpoint.build == build && phase == Phase::released)) {
            return;
        }
        const bool is_announced = endpoint.build == build;
        if ((is_announced ? stage.value : 0) < number_setting("release.guarded_stages")) {
            REQUIRE(effect == "idempotent");
        }
        const Seconds cap_binds_from = cap_lowered_at + number_setting("rules.drain_grace");
        double share_limit = is_announced ? (now > cap_binds_from ? cap : std::max(cap, cap_before))
                                          : number_setting("release.caps.0");
        const Seconds from = now - number_setting("release.window");
        double sent = 1;
        double received = 0;
        for (const ExposedAttempt& e : exposed) {
            if (e.build == endpoint.build &&
                e.counting_class == counting_class(audited_request.class_index) && e.at > from &&
                (!is_announced || now <= cap_binds_from || e.at > cap_binds_from)) {
                sent += 1;
            }
        }
        for (const auto& [at, in] : received_requests) {
            if (in == counting_class(audited_request.class_index) && at > from &&
                (!is_announced || now <= cap_binds_from || at > cap_binds_from)) {
                received += 1;
            }
        }
        if (share_limit == 0) {
            REQUIRE(false);  // rule 5
        }
        REQUIRE(sent <= number_setting("release.allowance") + share_limit * received + 1e-9);
        exposed.push_back({now, counting_class(audited_request.class_index), endpoint.build});
    }
    void answer(RequestId request) {
        REQUIRE(requests.contains(request));
        REQUIRE(++requests[request].answers == 1);  // rule 1
    }
    void reject(RequestId request, Seconds retry_after) override {
        answer(request);
        if (number_setting("allowed.come_back") == 0) {
            REQUIRE(retry_after == 0);
        }
        const AuditedRequest& audited_request = requests[request];
        const std::string effect = class_setting(audited_request.class_index, ".effect");
        for (const AuditedAttempt& audited_attempt : audited_request.attempts) {  // rule 2
            REQUIRE((audited_attempt.never_ran || effect == "idempotent" ||
                     (effect == "fingerprinted" &&
                      class_setting(audited_request.class_index, ".group") == "all")));
        }
    }
    void fail(RequestId request) override {
        answer(request);
    }
    void send_health_check(const EndpointId& id) override {
        REQUIRE(number_setting("allowed.probes") != 0);
        REQUIRE(listed.contains(id));
        health_checks.push_back(id);
    }
    void watch_endpoint_list() override {
        list_reply_at = now + 0.05;
    }
    void vote(Build build, Stage, Vote v) override {
        REQUIRE(release);
        REQUIRE(build == release->first);
        if (text_setting("release.moved_by") == "clock") {
            REQUIRE(v != Vote::on);
        } else {
            REQUIRE(v != Vote::hold);
        }
        vote_in_flight = true;
    }
    void set_timer(Seconds after, TimerId id) override {
        timers.push_back({now + after, id});
    }
    void log_event(const std::string&) override {}
    std::vector<EndpointId> health_checks;
};

}  // namespace tideline::test
