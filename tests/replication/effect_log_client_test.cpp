// Tests of the effect log's client: its actions before and after an attempt.
#include "replication/effect_log_client.hpp"

#include "replication_fixture.hpp"

namespace tideline::test {

namespace {

// Records the calls of the client as event names, in their order.
struct RecordingEffectLogHost : EffectLogClientHost {
    std::vector<std::string> events;
    RequestNumber last_request_number;
    AttemptRecord claimed_attempt;
    std::optional<Version> known_version;
    void send_claim(const Name& primary, RequestNumber number, const Key&, std::uint64_t,
                    const AttemptRecord& attempt, std::optional<Version> known) override {
        last_request_number = number;
        claimed_attempt = attempt;
        known_version = known;
        events.push_back("claims at " + primary.value);
    }
    void send_settle(const Name&, RequestNumber, const Key&, const AttemptRecord& attempt,
                     const std::string&) override {
        events.push_back("settles " + std::to_string(static_cast<int>(attempt.outcome)));
    }
    void send_bytes(const Name&, RequestNumber, const Key&, const std::string&) override {}
    void send_read(const Name&, RequestNumber number, const Key&) override {
        last_request_number = number;
        events.push_back("looks");
    }
    void request_table(TableVersion) override {}
    void on_cleared(RequestId, AttemptNumber) override {
        events.push_back("go");
    }
    void on_rejected(RequestId, Seconds) override {
        events.push_back("cannot");
    }
    void on_deferred(RequestId) override {
        events.push_back("waits");
    }
    void on_answer_found(RequestId, const std::string& answer) override {
        events.push_back("found answer " + answer);
    }
    void on_returned_to_policy(RequestId, const std::vector<AttemptRecord>& earlier) override {
        earlier_attempts = earlier;
        events.push_back("enter");
    }
    void on_effect_unknown(RequestId) override {
        events.push_back("unknown");
    }
    void on_record_read(const Key&, const Record*) override {}
    void on_alarm(const std::string& text) override {
        events.push_back("alarm");
        alarms.push_back(text);
    }
    bool has_event(const std::string& event) const {
        return std::find(events.begin(), events.end(), event) != events.end();
    }
    std::vector<AttemptRecord> earlier_attempts;
    std::vector<std::string> alarms;
};
// A client at member a; the first attempt of its request waits for its claim.
struct EffectLogFixture {
    explicit EffectLogFixture(bool idempotent = true, const EffectLogClientSettings& settings = {})
        : effect_log(host, settings, kA, Incarnation{1}, 0),
          request{RequestId{1}, kKey, 5, idempotent, 20} {
        effect_log.apply_table(10, table_of(1, {kB, kC}));
        effect_log.update_member(10, kB, Incarnation{1}, false);
        effect_log.before_attempt(10, request, AttemptNumber{0}, {}, {});
    }
    Record record_by(const Name& name, AttemptOutcome outcome) const {
        Record record;
        record.key = kKey;
        record.version = {TableVersion{1}, 3};
        record.attempts.push_back(attempt_by(name, 8));
        record.attempts[0].outcome = outcome;
        record.attempts[0].sent_at = 10;
        return record;
    }
    RecordingEffectLogHost host;
    EffectLogClient effect_log;
    GuardedRequest request;
};

}  // namespace

TEST_CASE(
    "an attempt is cleared once its claim is granted in time, else the claim is settled as not "
    "run") {
    EffectLogFixture fixture;
    CHECK(fixture.host.events == std::vector<std::string>{"claims at b"});
    SECTION("the grant arrives in time") {
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::granted,
                                    TableVersion{1}, nullptr);
        CHECK(fixture.host.events.back() == "go");
        fixture.effect_log.attempt_ended(10.2, RequestId{1}, AttemptNumber{0},
                                         AttemptOutcome::answered, "yes");
        CHECK(fixture.host.events.back() == "settles 3");
    }
    SECTION("the grant is read after a pause") {
        fixture.effect_log.on_reply(12, fixture.host.last_request_number, Reply::granted,
                                    TableVersion{1}, nullptr);
        CHECK_FALSE(fixture.host.has_event("go"));
        CHECK(fixture.host.has_event("cannot"));
        CHECK(fixture.host.has_event("settles 2"));
    }
    SECTION("no grant arrives") {
        fixture.effect_log.tick(10.6);
        CHECK(fixture.host.events.back() == "cannot");
        fixture.effect_log.on_reply(10.7, fixture.host.last_request_number, Reply::granted,
                                    TableVersion{1}, nullptr);
        CHECK_FALSE(fixture.host.has_event("go"));
    }
    SECTION("all replicas were lost") {
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::data_lost,
                                    TableVersion{1}, nullptr);
        CHECK(fixture.host.events.back() == "cannot");
    }
}

TEST_CASE("an attempt is cleared without replicas where the operator allows it, with one alarm") {
    EffectLogClientSettings settings;
    settings.allow_unreplicated = true;
    EffectLogFixture fixture(true, settings);
    fixture.effect_log.tick(10.6);
    CHECK(fixture.host.events.back() == "go");
    CHECK(fixture.effect_log.unreplicated() == 1);
    CHECK(std::count(fixture.host.events.begin(), fixture.host.events.end(), "alarm") == 1);
}

TEST_CASE(
    "a repeat gets the stored answer, waits for a running attempt, and never causes a second "
    "effect") {
    const bool idempotent = GENERATE(true, false);
    EffectLogFixture fixture(idempotent);
    SECTION("it was answered") {
        Record record = fixture.record_by(kB, AttemptOutcome::answered);
        record.answered = true;
        record.answer = "yes";
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::answered,
                                    TableVersion{1}, &record);
        CHECK(fixture.host.events.back() == "found answer yes");
    }
    SECTION("it is in flight, and then it is answered") {
        Record record = fixture.record_by(kB, AttemptOutcome::in_flight);
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::running,
                                    TableVersion{1}, &record);
        CHECK(fixture.host.events.back() == "waits");
        fixture.effect_log.tick(10.3);
        REQUIRE(fixture.host.events.back() == "looks");
        record.answered = true;
        record.answer = "yes";
        fixture.effect_log.on_reply(10.3, fixture.host.last_request_number, Reply::record_read,
                                    TableVersion{1}, &record);
        CHECK(fixture.host.events.back() == "found answer yes");
    }
    SECTION("it is in flight until the time limit") {
        const Record record = fixture.record_by(kB, AttemptOutcome::in_flight);
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::running,
                                    TableVersion{1}, &record);
        fixture.effect_log.tick(19.99);
        CHECK(fixture.host.events.back() == "unknown");
    }
    SECTION("it may have run") {
        const Record record = fixture.record_by(kB, AttemptOutcome::may_have_run);
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::uncertain,
                                    TableVersion{1}, &record);
        CHECK(fixture.host.has_event(idempotent ? "enter" : "unknown"));
        CHECK_FALSE(fixture.host.has_event(idempotent ? "unknown" : "enter"));
    }
    SECTION("its sender is gone") {
        fixture.effect_log.update_member(10, kB, Incarnation{1}, true);
        const Record record = fixture.record_by(kB, AttemptOutcome::in_flight);
        fixture.effect_log.on_reply(10.3, fixture.host.last_request_number, Reply::running,
                                    TableVersion{1}, &record);
        REQUIRE(fixture.host.has_event(idempotent ? "enter" : "unknown"));
        if (idempotent) {
            // The send time is not later than the true one, because the age is counted from the
            // client's request.
            CHECK(fixture.host.earlier_attempts.at(0).sent_at <= 10 - 0.3 + 1e-9);
            fixture.effect_log.before_attempt(10.4, fixture.request, AttemptNumber{1}, {}, {});
            CHECK(fixture.host.known_version == record.version);
            CHECK(fixture.host.claimed_attempt.number == 1);
        }
    }
    SECTION("it did not run") {
        const Record record = fixture.record_by(kB, AttemptOutcome::not_run);
        fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::running,
                                    TableVersion{1}, &record);
        REQUIRE(fixture.host.has_event("enter"));
        CHECK(fixture.host.earlier_attempts.empty());
        fixture.effect_log.before_attempt(10.4, fixture.request, AttemptNumber{0}, {}, {});
        CHECK_FALSE(fixture.host.known_version);
    }
}

// Guards against the exclusion of a primary that waits for a lost replica: claimants that got no
// reply reported it as silent.
TEST_CASE("a primary that says that it can't answer yet is not silent") {
    EffectLogClientSettings settings;
    settings.claim_timeout = 0.5;
    EffectLogFixture fixture(true, settings);
    const bool replies = GENERATE(true, false);
    for (int i = 1; i <= 11; ++i) {
        const Seconds now = 10 + 0.1 * i;
        if (i == 4) {
            // The request was rejected by now, and its client retries.
            fixture.effect_log.before_attempt(now, fixture.request, AttemptNumber{1}, {}, {});
        }
        fixture.effect_log.tick(now);
        if (replies && i % 3 == 0) {
            fixture.effect_log.on_reply(now, fixture.host.last_request_number, Reply::try_again,
                                        TableVersion{1}, nullptr);
        }
    }
    CHECK(fixture.effect_log.silent_primaries(11.1).contains(kB) != replies);
}

// Guards against claims that are never granted: if the replicas are slower than the resend
// interval, each reply belongs to a send before the last one.
TEST_CASE("a reply to an earlier sending of a claim or a read counts") {
    EffectLogFixture fixture;
    const RequestNumber first = fixture.host.last_request_number;
    fixture.effect_log.tick(10.15);
    REQUIRE(fixture.host.last_request_number != first);
    SECTION("a grant") {
        fixture.effect_log.on_reply(10.2, first, Reply::granted, TableVersion{1}, nullptr);
        CHECK(fixture.host.events.back() == "go");
        const std::size_t events = fixture.host.events.size();
        fixture.effect_log.on_reply(10.3, fixture.host.last_request_number, Reply::granted,
                                    TableVersion{1}, nullptr);
        CHECK(fixture.host.events.size() == events);
    }
    SECTION("a grant after a reply to try again") {
        fixture.effect_log.on_reply(10.2, first, Reply::try_again, TableVersion{1}, nullptr);
        fixture.effect_log.on_reply(10.3, first, Reply::granted, TableVersion{1}, nullptr);
        CHECK(fixture.host.events.back() == "go");
    }
    SECTION("not once the claim has failed") {
        fixture.effect_log.tick(10.6);
        REQUIRE(fixture.host.has_event("cannot"));
        fixture.effect_log.on_reply(10.7, first, Reply::granted, TableVersion{1}, nullptr);
        CHECK_FALSE(fixture.host.has_event("go"));
    }
    SECTION("not for a later attempt of the same request") {
        fixture.effect_log.before_attempt(10.2, fixture.request, AttemptNumber{1}, {}, {});
        fixture.effect_log.on_reply(10.3, first, Reply::granted, TableVersion{1}, nullptr);
        CHECK_FALSE(fixture.host.has_event("go"));
    }
    SECTION("a read; the age of its record includes the delay of the reply") {
        const Record record = fixture.record_by(kB, AttemptOutcome::in_flight);
        fixture.effect_log.on_reply(10.2, first, Reply::running, TableVersion{1}, &record);
        fixture.effect_log.tick(10.35);
        REQUIRE(fixture.host.events.back() == "looks");
        const RequestNumber read = fixture.host.last_request_number;
        fixture.effect_log.tick(10.5);
        REQUIRE(fixture.host.last_request_number != read);
        fixture.effect_log.update_member(10.5, kB, Incarnation{1}, true);
        fixture.effect_log.on_reply(10.6, read, Reply::record_read, TableVersion{1}, &record);
        REQUIRE(fixture.host.has_event("enter"));
        CHECK(fixture.host.earlier_attempts.at(0).sent_at <= 10 - (10.6 - 10.35) + 1e-9);
    }
}

// Guards against a second effect: the record of the first one was lost with the replicas.
TEST_CASE("after all replicas were lost no attempt goes out, even where unreplicated ones may") {
    EffectLogClientSettings settings;
    settings.allow_unreplicated = GENERATE(true, false);
    EffectLogFixture fixture(true, settings);
    fixture.effect_log.on_reply(10.1, fixture.host.last_request_number, Reply::data_lost,
                                TableVersion{1}, nullptr);
    CHECK(fixture.host.events.back() == "cannot");
    CHECK_FALSE(fixture.host.has_event("go"));
    CHECK(fixture.effect_log.unreplicated() == 0);
    // The alarm is not the one for slow replicas.
    REQUIRE(fixture.host.alarms.size() == 1);
    CHECK(fixture.host.alarms[0].find("lost") != std::string::npos);
}

// Guards against a map that grows without bound while no primary answers.
TEST_CASE("a notification that is given up for newer ones is forgotten whole") {
    RecordingEffectLogHost host;
    PrimaryRequests requests(0, 0.5);
    requests.apply_table(table_of(1, {kB, kC}));
    Notifications notifications(EffectLogClientSettings{});
    notifications.settle(10, kKey, attempt_by(kA, 1), {}, requests, host);
    const RequestNumber first{1};
    for (std::size_t i = 0; i < kMaxNotifications; ++i) {
        notifications.settle(10, kKey, attempt_by(kA, 2 + i), {}, requests, host);
    }
    REQUIRE(notifications.count() == kMaxNotifications);
    // The number of the dropped notification is unknown, so the reply is not taken for a
    // notification's.
    CHECK_FALSE(notifications.on_reply(first, Reply::stored, nullptr, requests, host));
    CHECK(notifications.on_reply(RequestNumber{2}, Reply::stored, nullptr, requests, host));
}

}  // namespace tideline::test
