// Breaks each rule of the soak's auditor once and checks that the auditor reports that rule alone.
#include "soak/audit.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace tideline::soak {

namespace {

SoakRecord sound_record() {
    SoakRecord record;
    record.drain_grace = 0.65;
    SoakRequest answered{"a", "charge", 10,           1.5, RequestOutcome::answered,
                         1,   11,       "value of a", {},  0};
    SoakRequest rejected{"b", "read", 10, 0.02, RequestOutcome::answered, 1, 10.1, {}, {}, 0};
    SoakRequest gone{"c", "read", 10, 1.5, RequestOutcome::client_gone, 0, 0, {}, 10.05, 0};
    SoakRequest unread{"d", "charge", 10, 1.5, RequestOutcome::closed_unread, 0, 0, {}, {}, 10.2};
    SoakRequest vanished{"e", "charge", 10, 1.5, RequestOutcome::sidecar_killed,
                         0,   0,        {}, {},  10.2};
    record.requests = {answered, rejected, gone, unread, vanished};
    record.attempts = {{10.1, "a", "charge", 1}, {10.04, "c", "read", 2}};
    record.drains = {{1, 12, 14}};
    SidecarProcess process;
    process.started_at = 5;
    process.ready_at = 6;
    process.sigterm_at = 12;
    process.wrote_log = true;
    record.processes = {process};
    return record;
}

}  // namespace

TEST_CASE("the soak's auditor finds nothing in a sound record") {
    CHECK(violations_of(sound_record()).empty());
}

TEST_CASE("the soak's auditor sees each rule that is broken") {
    struct BrokenRule {
        const char* expected_text;
        std::function<void(SoakRecord&)> apply;
    };
    const std::vector<BrokenRule> broken_rules = {
        {"2 final answers", [](auto& record) { record.requests[0].answers = 2; }},
        {"wrong answer", [](auto& record) { record.requests[0].value = "value of b"; }},
        {"read, and closed",
         [](auto& record) { record.requests[0].outcome = RequestOutcome::closed_read; }},
        {"never answered", [](auto& record) { record.requests[0].outcome = RequestOutcome::open; }},
        {"answered after", [](auto& record) { record.requests[1].answered_at = 10.7; }},
        {"ran twice",
         [](auto& record) {
             record.attempts.push_back({10.2, "a", "charge", 2});
         }},
        {"attempted, and closed",
         [](auto& record) {
             record.attempts.push_back({10.1, "d", "charge", 2});
         }},
        {"after its client's close",
         [](auto& record) {
             record.attempts.push_back({10.31, "c", "read", 2});
         }},
        {"draining endpoint",
         [](auto& record) {
             record.attempts.push_back({12.7, "a2", "read", 1});
         }},
        {"after its start", [](auto& record) { record.processes[0].ready_at = 15.1; }},
        {"earliest SIGKILL", [](auto& record) { record.processes[0].overdue = true; }},
        {"ended with status 143", [](auto& record) { record.processes[0].exit_status = 143; }},
        {"ended with status 3", [](auto& record) { record.processes[0].exit_status = 3; }},
    };
    for (const BrokenRule& broken_rule : broken_rules) {
        SoakRecord record = sound_record();
        broken_rule.apply(record);
        const std::vector<std::string> violations = violations_of(record);
        INFO(broken_rule.expected_text);
        REQUIRE(violations.size() == 1);
        CHECK_THAT(violations[0], Catch::Contains(broken_rule.expected_text));
    }
}

}  // namespace tideline::soak
