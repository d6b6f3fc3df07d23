// Tests of the version audit: the required version, transfers, exclusion, and trial participation.
#include "cluster_fixture.hpp"

namespace tideline::test {
namespace {

using audit::VersionAudit;
using audit::VersionAuditSettings;
using audit::VersionStatus;

constexpr ContentVersion kReleaseStatus{1, 11};
ContentVersion list_at(std::uint64_t rank) {
    return {rank, rank * 100};
}

// The version audit of member a with a recording host, and a clock in seconds.
struct VersionAuditFixture {
    RecordingVersionAuditHost host;
    Seconds now = 100;
    VersionAudit audit;
    explicit VersionAuditFixture(const VersionAuditSettings& settings = {})
        : audit(host, settings, Name{"a"}, 100) {
        audit.set_own_version(now, VersionPart::list, list_at(5));
        audit.set_own_version(now, VersionPart::release, kReleaseStatus);
    }
    void receive_gossip(const std::string& name, MemberState state = MemberState::present,
                        bool excluded = false, std::uint64_t rank = 0) {
        Entry entry = entry_of(name);
        entry.state = state;
        entry.excluded = excluded;
        entry.version.list = ListRevision{rank};
        audit.on_gossip(now, entry);
    }
    void hear_version(const std::string& name, std::uint64_t rank,
                      const ContentVersion& release = kReleaseStatus) {
        audit.on_peer_version(now, Name{name}, Incarnation{1}, list_at(rank), release);
    }
    void run(Seconds span, const std::map<std::string, std::uint64_t>& reporting = {}) {
        for (const Seconds until = now + span; now < until;) {
            now += 0.25;
            for (const auto& [name, rank] : reporting) {
                hear_version(name, rank);
            }
            audit.tick(now);
        }
    }
    std::uint64_t required_rank() const {
        return audit.required_rank(VersionPart::list);
    }
    bool gossiped_exclusion(const std::string& name, bool excluded) const {
        return std::find(host.gossiped_exclusions.begin(), host.gossiped_exclusions.end(),
                         std::pair(Name{name}, excluded)) != host.gossiped_exclusions.end();
    }
};
const std::map<std::string, std::uint64_t> kPeers = {{"b", 5}, {"c", 5}, {"d", 5}, {"e", 5},
                                                     {"f", 5}, {"g", 5}, {"h", 5}};
void meet(VersionAuditFixture& fixture, const std::map<std::string, std::uint64_t>& all) {
    for (const auto& [name, rank] : all) {
        fixture.receive_gossip(name);
        fixture.hear_version(name, rank);
    }
}

}  // namespace

TEST_CASE("the required version is what enough members report themselves, and only rises") {
    VersionAuditFixture fixture;
    fixture.receive_gossip("b", MemberState::present, false, 99);
    fixture.receive_gossip("c", MemberState::present, false, 99);
    fixture.receive_gossip("d", MemberState::present, false, 99);
    fixture.run(1);
    CHECK(fixture.required_rank() == 0);  // gossip of others does not count
    fixture.hear_version("b", 9);
    fixture.hear_version("b", 9);
    fixture.hear_version("c", 9);
    CHECK(fixture.required_rank() == 5);  // the third highest of a, b and c
    fixture.hear_version("d", 7);
    CHECK(fixture.required_rank() == 7);
    fixture.hear_version("d", 3);  // within an incarnation no version goes back
    CHECK(fixture.required_rank() == 7);
    fixture.audit.on_peer_version(fixture.now, Name{"d"}, Incarnation{2}, list_at(1),
                                  kReleaseStatus);
    fixture.audit.remove_peer(Name{"b"});
    fixture.run(1);
    CHECK(fixture.required_rank() == 7);
}

TEST_CASE("two faulty members of three witnesses exclude nobody") {
    VersionAuditFixture fixture;
    meet(fixture, kPeers);
    auto reporting = kPeers;
    reporting["b"] = 900;
    reporting["c"] = 901;
    fixture.run(60, reporting);
    CHECK(fixture.required_rank() == 5);
    CHECK(fixture.host.gossiped_exclusions.empty());
    CHECK(fixture.host.participations.empty());
}

TEST_CASE("a straggler is excluded after the grace and the notice, and readmitted on proof alone") {
    VersionAuditFixture fixture;
    auto reporting = kPeers;
    reporting["h"] = 4;
    meet(fixture, reporting);
    fixture.run(4.9, reporting);
    CHECK(fixture.audit.status_of(fixture.now, Name{"h"}) == VersionStatus::behind);
    fixture.run(5, reporting);
    CHECK(fixture.audit.status_of(fixture.now, Name{"h"}) == VersionStatus::straggler);
    CHECK(fixture.host.gossiped_exclusions.empty());
    fixture.run(6, reporting);
    REQUIRE(fixture.gossiped_exclusion("h", true));
    CHECK(fixture.audit.status_of(fixture.now, Name{"h"}) == VersionStatus::excluded);
    CHECK(!fixture.host.exclusion_notices.empty());
    // It reports the required revision with different content, which is no proof.
    for (int i = 0; i < 20; ++i) {
        fixture.audit.on_peer_version(fixture.now, Name{"h"}, Incarnation{1}, {5, 12345},
                                      kReleaseStatus);
        fixture.run(0.25);
    }
    CHECK_FALSE(fixture.gossiped_exclusion("h", false));
    reporting["h"] = 5;
    fixture.run(1, reporting);
    CHECK(fixture.gossiped_exclusion("h", false));
    CHECK(fixture.audit.status_of(fixture.now, Name{"h"}) == VersionStatus::current);
}

TEST_CASE(
    "no more members are excluded than the limit, gone ones counted, and reaching it raises an "
    "alarm") {
    const bool one_gone = GENERATE(false, true);
    VersionAuditFixture fixture;
    auto reporting = kPeers;
    reporting["f"] = reporting["g"] = reporting["h"] = 4;
    meet(fixture, reporting);  // two of eight members at most
    if (one_gone) {
        fixture.receive_gossip("c", MemberState::gone);
    }
    if (one_gone) {
        reporting.erase("c");
    }
    fixture.run(60, reporting);
    CHECK(fixture.host.gossiped_exclusions.size() == (one_gone ? 1 : 2));
    const auto limit_alarms =
        std::count_if(fixture.host.alarms.begin(), fixture.host.alarms.end(),
                      [](auto& text) { return text.find("exclusion limit reached") == 0; });
    CHECK(limit_alarms == 1);
}

TEST_CASE(
    "members exclude others in the order of their names, and a member that lags excludes nobody") {
    VersionAuditFixture fixture;
    auto reporting = kPeers;
    reporting["A"] = 5;
    reporting["h"] = 4;  // A precedes a in the order of names
    meet(fixture, reporting);
    fixture.run(20, reporting);
    CHECK(fixture.host.gossiped_exclusions.empty());
    fixture.run(7, reporting);
    CHECK(fixture.gossiped_exclusion("h", true));

    VersionAuditFixture late;
    auto ahead = kPeers;
    for (auto& [name, rank] : ahead) {
        rank = 9;
    }
    ahead["h"] = 4;
    meet(late, ahead);
    late.run(60, ahead);
    CHECK(late.host.gossiped_exclusions.empty());
}

TEST_CASE("a member that gossip shows behind is asked itself before it is excluded") {
    VersionAuditFixture fixture;
    meet(fixture, kPeers);
    fixture.receive_gossip("z", MemberState::present, false, 2);
    fixture.run(30, kPeers);
    CHECK(std::find(fixture.host.version_requests.begin(), fixture.host.version_requests.end(),
                    Name{"z"}) != fixture.host.version_requests.end());
    CHECK(fixture.host.version_requests.size() < 20);  // a few at a time
    CHECK(fixture.host.gossiped_exclusions.empty());
    CHECK(fixture.audit.status_of(fixture.now, Name{"z"}) == VersionStatus::unheard);
}

TEST_CASE("transferred content is applied once enough members confirm exactly that content") {
    VersionAuditFixture fixture;
    auto ahead = kPeers;
    for (auto& [name, rank] : ahead) {
        rank = 9;
    }
    meet(fixture, ahead);
    fixture.run(3, ahead);
    REQUIRE(!fixture.host.transfer_requests.empty());
    const Name sender = fixture.host.transfer_requests.back().first;
    const ContentVersion offered = GENERATE(ContentVersion{9, 900}, ContentVersion{9, 666});
    fixture.audit.transfer_received(fixture.now, sender, VersionPart::list, offered);
    CHECK(fixture.host.applied_versions.empty());
    REQUIRE(fixture.host.confirmation_requests.size() >= 3);
    for (const auto& [name, version] : std::vector(fixture.host.confirmation_requests)) {
        fixture.audit.confirmation_received(fixture.now, name, VersionPart::list, version,
                                            version == ContentVersion{9, 900});
    }
    fixture.audit.confirmation_received(fixture.now, sender, VersionPart::list, offered,
                                        true);  // the sender counts once
    CHECK(fixture.host.applied_versions.size() == (offered == ContentVersion{9, 900} ? 1 : 0));
    // An older version is never adopted: no confirmation is requested for it.
    const auto before = fixture.host.confirmation_requests.size();
    fixture.audit.transfer_received(fixture.now, sender, VersionPart::list, {3, 300});
    CHECK(fixture.host.confirmation_requests.size() == before);
}

TEST_CASE("a member that lags restricts its trial participation by what it lags on") {
    const bool on_release = GENERATE(false, true);
    VersionAuditFixture fixture;
    auto ahead = kPeers;
    const ContentVersion newer{7, 77};
    for (auto& [name, rank] : ahead) {
        rank = on_release ? 5 : 9;
    }
    for (Seconds until = fixture.now + 4.5; fixture.now < until; fixture.now += 0.25) {
        for (const auto& [name, rank] : ahead) {
            fixture.receive_gossip(name);
            fixture.hear_version(name, rank, on_release ? newer : kReleaseStatus);
        }
        fixture.audit.tick(fixture.now);
    }
    CHECK(fixture.host.participations.empty());
    for (Seconds until = fixture.now + 1; fixture.now < until; fixture.now += 0.25) {
        for (const auto& [name, rank] : ahead) {
            fixture.hear_version(name, rank, on_release ? newer : kReleaseStatus);
        }
        fixture.audit.tick(fixture.now);
    }
    REQUIRE(fixture.host.participations.size() == 1);
    CHECK(fixture.audit.trial_participation() ==
          (on_release ? TrialParticipation::no_trial : TrialParticipation::first_stage));
    fixture.audit.set_own_version(fixture.now, VersionPart::list, list_at(9));
    fixture.audit.set_own_version(fixture.now, VersionPart::release, newer);
    CHECK(fixture.audit.trial_participation() == TrialParticipation::open);
}

TEST_CASE(
    "a member that hears too few others restricts its participation, one that never knew others "
    "does not") {
    VersionAuditFixture fixture;
    meet(fixture, kPeers);
    fixture.run(9, {{"b", 5}, {"c", 5}});
    CHECK(fixture.audit.trial_participation() == TrialParticipation::open);
    fixture.run(11, {{"b", 5}});
    CHECK(fixture.audit.trial_participation() == TrialParticipation::first_stage);
    fixture.run(0.25, kPeers);
    CHECK(fixture.audit.trial_participation() == TrialParticipation::open);

    VersionAuditFixture lone;
    lone.run(60);
    CHECK(lone.audit.trial_participation() == TrialParticipation::open);
}

TEST_CASE("an excluded member ends its participation, unless enough others have nothing newer") {
    VersionAuditFixture fixture;
    meet(fixture, kPeers);
    fixture.run(1, kPeers);
    fixture.audit.on_own_exclusion(fixture.now, true);  // gossip of a faulty member
    CHECK(fixture.audit.trial_participation() == TrialParticipation::open);
    // It hears two members, both ahead, so it can not know the required version.
    fixture.run(11, {{"b", 6}, {"c", 6}});
    CHECK(fixture.audit.trial_participation() == TrialParticipation::no_trial);
    fixture.audit.on_own_exclusion(fixture.now, false);
    CHECK(fixture.audit.trial_participation() != TrialParticipation::no_trial);
    for (const char* name : {"b", "c"}) {
        fixture.audit.on_refusal(fixture.now, Name{name});
    }
    CHECK(fixture.audit.trial_participation() != TrialParticipation::no_trial);
    // Direct refusals from as many members as there are witnesses.
    fixture.audit.on_refusal(fixture.now, Name{"d"});
    CHECK(fixture.audit.trial_participation() == TrialParticipation::no_trial);
}

}  // namespace tideline::test
