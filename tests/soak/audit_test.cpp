// Breaks each rule of the soak's auditor once and checks that the auditor reports that rule alone.
#include "soak/audit.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace tideline::soak {

namespace {

SoakRecord sound_record() {
    SoakRecord record;
    record.drain_grace = 0.65;
    SoakRequest answered{"a", "charge", 10, 1.5, Ending::answered, 1, 11, "value of a", {}, 0};
    SoakRequest rejected{"b", "read", 10, 0.02, Ending::answered, 1, 10.1, {}, {}, 0};
    SoakRequest gone{"c", "read", 10, 1.5, Ending::client_gone, 0, 0, {}, 10.05, 0};
    SoakRequest unread{"d", "charge", 10, 1.5, Ending::closed_unread, 0, 0, {}, {}, 10.2};
    SoakRequest vanished{"e", "charge", 10, 1.5, Ending::process_vanished, 0, 0, {}, {}, 10.2};
    record.requests = {answered, rejected, gone, unread, vanished};
    record.attempts = {{10.1, "a", "charge", 1}, {10.04, "c", "read", 2}};
    record.drains = {{1, 12, 14}};
    SidecarLife life;
    life.started_at = 5;
    life.ready_at = 6;
    life.term_at = 12;
    life.wrote_log = true;
    record.lives = {life};
    return record;
}

}  // namespace

TEST_CASE("the soak's auditor finds nothing in a sound record") {
    CHECK(violations_of(sound_record()).empty());
}

TEST_CASE("the soak's auditor sees each rule that is broken") {
    struct Breach {
        const char* text;
        std::function<void(SoakRecord&)> apply;
    };
    const std::vector<Breach> breaches = {
        {"2 final answers", [](auto& record) { record.requests[0].answers = 2; }},
        {"wrong answer", [](auto& record) { record.requests[0].value = "value of b"; }},
        {"read, and closed", [](auto& record) { record.requests[0].ending = Ending::closed_read; }},
        {"never answered", [](auto& record) { record.requests[0].ending = Ending::open; }},
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
        {"after its start", [](auto& record) { record.lives[0].ready_at = 15.1; }},
        {"earliest SIGKILL", [](auto& record) { record.lives[0].overdue = true; }},
        {"ended with status 143", [](auto& record) { record.lives[0].exit_status = 143; }},
        {"ended with status 3", [](auto& record) { record.lives[0].exit_status = 3; }},
    };
    for (const Breach& breach : breaches) {
        SoakRecord record = sound_record();
        breach.apply(record);
        const std::vector<std::string> violations = violations_of(record);
        INFO(breach.text);
        REQUIRE(violations.size() == 1);
        CHECK_THAT(violations[0], Catch::Contains(breach.text));
    }
}

}  // namespace tideline::soak
