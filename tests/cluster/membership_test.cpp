// Tests of the membership: suspicion, refutation, incarnations, local health, and partitions that
// heal.
#include "cluster_fixture.hpp"

namespace tideline::test {
namespace {

const Name kB{"b"};
const Name kC{"c"};

// The membership of member a with a recording host, and a clock in seconds.
struct MembershipFixture {
    RecordingMembershipHost host;
    Seconds now = 100;
    Membership membership{host, {}, entry_of("a"), {}, 7, 100};
    void meet(const Entry& entry) {
        membership.ping_received(now, entry, PingId{1}, {});
    }
    void receive_gossip(const Entry& entry, const std::string& by = "b") {
        membership.ping_received(now, entry_of(by), PingId{1}, {entry});
    }
    // Advances the time; only the named members answer pings.
    void run(Seconds span, const std::vector<std::string>& answering = {},
             std::uint32_t refutations = 0) {
        for (const Seconds until = now + span; now < until;) {
            now = std::min(until, std::max(now + 1e-4, membership.due()));
            const std::size_t pings = host.pings.size();
            membership.tick(now);
            for (std::size_t i = pings; i < host.pings.size(); ++i) {
                for (const std::string& name : answering) {
                    if (host.pings[i].to.value == name) {
                        membership.answered(now + 0.01, entry_of(name, 1, refutations),
                                            host.pings[i].ping_id, {});
                    }
                }
            }
        }
    }
    MemberState state_of(const Name& name) const {
        return membership.others().at(name).state;
    }
};

}  // namespace

TEST_CASE("a member that does not answer is suspected, and gone only after it had time to refute") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.run(2.5);
    REQUIRE(fixture.state_of(kB) == MemberState::suspected);
    fixture.run(1.4);
    CHECK(fixture.state_of(kB) == MemberState::suspected);
    fixture.run(6);
    CHECK(fixture.state_of(kB) == MemberState::gone);
    CHECK(fixture.membership.present() == 0);
}

TEST_CASE("a higher refutation count ends a suspicion, the present one does not") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.receive_gossip(with_state(entry_of("b"), MemberState::suspected, "c"), "c");
    REQUIRE(fixture.state_of(kB) == MemberState::suspected);
    fixture.meet(entry_of("b"));
    CHECK(fixture.state_of(kB) == MemberState::suspected);
    // A suspected member gets the suspicion with the acknowledgement.
    const auto& answer = fixture.host.acknowledgements.back();
    REQUIRE(answer.to == kB);
    CHECK(answer.gossip.front().name == kB);
    CHECK(answer.gossip.front().state == MemberState::suspected);
    fixture.meet(entry_of("b", 1, 1));
    CHECK(fixture.state_of(kB) == MemberState::present);
    fixture.receive_gossip(with_state(entry_of("b"), MemberState::suspected, "c"),
                           "c");  // delayed, with the previous refutation count
    CHECK(fixture.state_of(kB) == MemberState::present);
}

TEST_CASE("a member refutes suspicions of itself under its incarnation") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.receive_gossip(
        with_state(entry_of("a"), GENERATE(MemberState::suspected, MemberState::gone)));
    CHECK(fixture.membership.self().refutation_count.value == 1);
    CHECK(fixture.membership.self().state == MemberState::present);
    fixture.receive_gossip(with_state(entry_of("a"), MemberState::gone));  // the same entry again
    CHECK(fixture.membership.self().refutation_count.value == 1);
    fixture.receive_gossip(entry_of("a", 9));  // a clock that was ahead at an earlier start
    CHECK(fixture.membership.self().incarnation.value == 10);
    CHECK(fixture.host.membership_alarms.empty());
    fixture.receive_gossip(entry_of("a", 20));
    fixture.receive_gossip(entry_of("a", 30));
    CHECK(fixture.host.membership_alarms.size() == 1);  // another process has this name
}

TEST_CASE("gossip about an earlier incarnation does not change the present one") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b", 5));
    fixture.receive_gossip(with_state(entry_of("b", 4, 8), MemberState::gone));
    fixture.meet(with_state(entry_of("b", 3), MemberState::left));
    CHECK(fixture.state_of(kB) == MemberState::present);
    CHECK(fixture.membership.others().at(kB).incarnation.value == 5);
    fixture.meet(entry_of("b", 6));
    CHECK(fixture.membership.others().at(kB).incarnation.value == 6);
}

TEST_CASE("gossip of another partition does not declare members gone that answer here") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.meet(entry_of("c"));
    fixture.receive_gossip(with_state(entry_of("c"), MemberState::gone));
    CHECK(fixture.state_of(kC) == MemberState::suspected);
    fixture.meet(entry_of("c", 1, 1));
    CHECK(fixture.state_of(kC) == MemberState::present);
    // A member that is suspected here as well is declared gone.
    fixture.receive_gossip(with_state(entry_of("c", 1, 1), MemberState::suspected, "b"));
    fixture.receive_gossip(with_state(entry_of("c", 1, 1), MemberState::gone));
    CHECK(fixture.state_of(kC) == MemberState::gone);
}

TEST_CASE("more suspecting members shorten the suspicion timeout, one alone does not") {
    const int accusers = GENERATE(1, 4);
    MembershipFixture fixture;
    for (const char* name : {"b", "c", "d", "e", "f"}) {
        fixture.meet(entry_of(name));
    }
    const std::vector<std::string> answering{"b", "d", "e", "f"};
    for (int i = 0; i < accusers; ++i) {
        fixture.receive_gossip(with_state(entry_of("c"), MemberState::suspected,
                                          std::string(1, static_cast<char>('d' + i))),
                               "b");
    }
    fixture.run(5, answering);
    CHECK(fixture.state_of(kC) == (accusers == 1 ? MemberState::suspected : MemberState::gone));
}

TEST_CASE("a member that was paused suspects nobody for it") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.meet(entry_of("c"));
    fixture.run(3, {"b", "c"});
    fixture.receive_gossip(with_state(entry_of("c"), MemberState::suspected, "b"));
    fixture.now += 60;
    fixture.membership.tick(fixture.now);
    // C had no time to refute the suspicion here.
    CHECK(fixture.state_of(kC) == MemberState::suspected);
    CHECK(fixture.state_of(kB) == MemberState::present);
    CHECK(fixture.membership.health() > 0);
    fixture.run(20, {"b"}, 1);
    CHECK(fixture.state_of(kC) == MemberState::gone);
    CHECK(fixture.state_of(kB) == MemberState::present);
}

TEST_CASE("silent helpers count against this member's own local health") {
    MembershipFixture fixture;
    for (const char* name : {"b", "c", "d", "e"}) {
        fixture.meet(entry_of(name));
    }
    fixture.run(4);
    REQUIRE(!fixture.host.indirect_pings.empty());
    CHECK(fixture.membership.health() >= 3);
    const int slow = fixture.membership.health();
    fixture.run(120, {"b", "c", "d", "e"}, 1);
    CHECK(fixture.membership.health() < slow);
}

TEST_CASE("an indirect ping is sent on request, and a missing answer is reported in time") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.meet(entry_of("c"));
    const bool answers = GENERATE(true, false);
    fixture.membership.indirect_ping_requested(fixture.now, entry_of("b"), PingId{77}, kC, {});
    REQUIRE(fixture.host.pings.back().to == kC);
    if (answers) {
        fixture.membership.answered(fixture.now + 0.1, entry_of("c"),
                                    fixture.host.pings.back().ping_id, {});
        CHECK(fixture.host.acknowledgements.back().to == kB);
        CHECK(fixture.host.acknowledgements.back().ping_id == PingId{77});
    } else {
        fixture.run(0.29);
        REQUIRE(fixture.host.no_answer_reports.size() == 1);
        CHECK(fixture.host.no_answer_reports.back() == kB);
    }
}

TEST_CASE(
    "a gone member is asked for its table now and then, and tables are exchanged once it is back") {
    MembershipFixture fixture;
    fixture.meet(entry_of("b"));
    fixture.run(30);
    REQUIRE(fixture.state_of(kB) == MemberState::gone);
    const auto table_requests = fixture.host.table_requests.size();
    CHECK(table_requests >= 3);
    CHECK(fixture.host.table_requests.back() == entry_of("b").address);
    fixture.membership.table_requested(fixture.now, entry_of("b", 1, 0));
    REQUIRE(fixture.host.sent_tables.size() == 1);
    const auto& sent_table = fixture.host.sent_tables.back().gossip;
    CHECK(std::any_of(sent_table.begin(), sent_table.end(),
                      [](const Entry& e) { return e.name == kB && e.state == MemberState::gone; }));
    fixture.membership.table_received(fixture.now + 2, entry_of("b", 1, 1), {}, true);
    CHECK(fixture.state_of(kB) == MemberState::present);
    CHECK(fixture.host.sent_tables.size() == 2);
}

TEST_CASE("pings and gossip per message do not grow with the fleet") {
    MembershipFixture fixture;
    for (int i = 0; i < 500; ++i) {
        fixture.meet(entry_of("m" + std::to_string(i)));
    }
    fixture.host.pings.clear();
    fixture.run(20);
    CHECK(fixture.host.pings.size() <= 25);
    for (const auto& ping : fixture.host.pings) {
        CHECK(ping.gossip.size() <= 11);
    }
}

TEST_CASE("gone members are forgotten after the configured time, and do not return by gossip") {
    RecordingMembershipHost host;
    MembershipSettings settings;
    settings.remember = 20;
    Membership membership(host, settings, entry_of("a"), {}, 7, 0);
    membership.ping_received(0, entry_of("b"), PingId{1}, {});
    membership.ping_received(0, with_state(entry_of("b"), MemberState::left), PingId{2}, {});
    for (Seconds now = 0.1; now < 15; now += 0.1) {
        membership.tick(now);
    }
    REQUIRE(membership.others().contains(kB));
    membership.ping_received(15, entry_of("c"), PingId{1},
                             {});  // receives the entries that are still gossiped
    for (int i = 0; i < 40; ++i) {
        membership.ping_received(15, entry_of("c"), PingId{1}, {});
    }
    const auto& last = host.acknowledgements.back().gossip;
    CHECK(std::none_of(last.begin(), last.end(), [](const Entry& e) { return e.name == kB; }));
    for (Seconds now = 15; now < 25; now += 0.1) {
        membership.tick(now);
    }
    CHECK_FALSE(membership.others().contains(kB));
}

}  // namespace tideline::test
