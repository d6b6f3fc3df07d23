// Tests of the audit log: its chain of seals, the seals that other members remember, and what is
// stored.
#include "audit/audit_log.hpp"

#include <rapidcheck.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "audit/sealed_heads.hpp"
#include "cluster/member_store.hpp"
#include "cluster_fixture.hpp"

namespace tideline::test {
namespace {

using namespace audit;

struct RecordingAuditLogHost : AuditLogHost {
    std::vector<Epoch> epochs;
    void on_epoch_sealed(const Epoch& epoch) override {
        epochs.push_back(epoch);
    }
};
ActingState on_list(std::uint64_t revision) {
    ActingState acting;
    acting.version.list = ListRevision{revision};
    acting.config_digest = "t";
    acting.program = "p";
    return acting;
}
AuditLog log_of_epochs(RecordingAuditLogHost& host, int epochs, std::size_t kept = 100) {
    AuditLog audit_log(host, Name{"a"}, Incarnation{3}, Disk{1}, {}, on_list(1), kept, 10);
    for (int i = 2; i <= epochs + 1; ++i) {
        for (int k = 0; k < i; ++k) {
            audit_log.add_attempt(k % 2 == 0);
        }
        audit_log.add_vote(Vote::on);
        audit_log.add_drains(1);
        audit_log.set_acting_state(10 + i, on_list(static_cast<std::uint64_t>(i)));
    }
    return audit_log;
}

struct Folder {
    Folder() {
        char name[] = "/tmp/tideline-archive-XXXXXX";
        path = ::mkdtemp(name);
    }
    ~Folder() {
        std::filesystem::remove_all(path);
    }
    std::string path;
};

}  // namespace

TEST_CASE("unchanged settings and versions open no epoch, and a change seals the current one") {
    RecordingAuditLogHost host;
    AuditLog audit_log = log_of_epochs(host, 3);
    CHECK(host.epochs.size() == 3);
    CHECK(audit_log.head_number() == 3);
    audit_log.set_acting_state(50, on_list(4));
    CHECK(host.epochs.size() == 3);
    CHECK(audit_log.since() == 14);
    CHECK(find_record_fault(audit_log.record()).empty());
}

TEST_CASE("a change of any field after the seal is detected") {
    RecordingAuditLogHost host;
    Record record = log_of_epochs(host, 4).record();
    const int which = GENERATE(range(0, 17));
    Epoch& epoch = record.epochs[1];
    switch (which) {
        case 0:
            epoch.acting.version.list.value ^= 1;
            break;
        case 1:
            epoch.acting.version.release.value ^= 1;
            break;
        case 2:
            epoch.acting.build.value ^= 1;
            break;
        case 3:
            epoch.acting.stage.value ^= 1;
            break;
        case 4:
            epoch.acting.phase = Phase::trial;
            break;
        case 5:
            epoch.acting.cap += 0.01;
            break;
        case 6:
            epoch.acting.trial_participation = TrialParticipation::no_trial;
            break;
        case 7:
            epoch.acting.config_digest = "T";
            break;
        case 8:
            epoch.acting.program += "x";
            break;
        case 9:
            ++epoch.counts.trial;
            break;
        case 10:
            ++epoch.counts.earlier;
            break;
        case 11:
            ++epoch.counts.on_votes;
            break;
        case 12:
            ++epoch.counts.back_votes;
            break;
        case 13:
            ++epoch.counts.marks;
            break;
        case 14:
            ++epoch.counts.drains;
            break;
        case 15:
            epoch.to -= 0.5;
            break;
        default:
            record.epochs.erase(record.epochs.begin() + 1);
    }
    CHECK_FALSE(find_record_fault(record).empty());
}

TEST_CASE("old epochs are folded into sums and the chain remains valid from there") {
    RecordingAuditLogHost host;
    AuditLog audit_log = log_of_epochs(host, 40, 8);
    const Record& record = audit_log.record();
    REQUIRE(record.fold);
    CHECK(record.epochs.size() <= 8);
    CHECK(record.fold->epochs + record.epochs.size() == 40);
    Counts all = record.fold->counts;
    for (const Epoch& epoch : record.epochs) {
        all += epoch.counts;
    }
    CHECK(all.drains == 40);
    CHECK(all.trial + all.earlier == 860);
    CHECK(find_record_fault(record).empty());
    Record cut = record;
    cut.fold->last -= 1;
    CHECK_FALSE(find_record_fault(cut).empty());
}

TEST_CASE(
    "two histories of one incarnation, or a forged one with valid seals, do not match the shown "
    "heads") {
    RecordingAuditLogHost host;
    SealedHeads heads;
    const Record before = log_of_epochs(host, 3).record();
    REQUIRE(heads.observe_seal(Name{"a"}, Incarnation{3}, 3, before.epochs.back().digest).empty());
    CHECK(heads.find_record_fault(before).empty());
    SECTION("forged anew") {
        AuditLog other(host, Name{"a"}, Incarnation{3}, Disk{1}, {}, on_list(1), 100, 10);
        for (std::uint64_t i = 2; i < 6; ++i) {
            other.set_acting_state(10 + static_cast<double>(i), on_list(i));
        }
        REQUIRE(find_record_fault(other.record()).empty());
        CHECK_FALSE(heads.find_record_fault(other.record()).empty());
        CHECK_FALSE(
            heads.observe_seal(Name{"a"}, Incarnation{3}, 3, other.record().epochs[2].digest)
                .empty());
    }
    SECTION("shorter than the shown head") {
        Record cut = before;
        cut.open = cut.epochs.back();
        cut.epochs.pop_back();
        CHECK(find_record_fault(cut).empty());
        CHECK_FALSE(heads.find_record_fault(cut).empty());
        // A seal that is reported late is no fault; another seal of that epoch is.
        CHECK(heads.observe_seal(Name{"a"}, Incarnation{3}, 2, before.epochs[1].digest).empty());
        CHECK_FALSE(
            heads.observe_seal(Name{"a"}, Incarnation{3}, 2, before.epochs[0].digest).empty());
    }
    SECTION("a new incarnation begins its own history") {
        CHECK(heads.observe_seal(Name{"a"}, Incarnation{4}, 1, "x").empty());
        CHECK(heads.observe_seal(Name{"a"}, Incarnation{3}, 1, "late").empty());
    }
}

TEST_CASE(
    "a folder keeps incarnation and last seal, a lost one is another disk, and another member's is "
    "refused") {
    Folder folder;
    const auto epoch = [](std::uint64_t number) {
        Epoch one;
        one.number = number;
        one.digest = "seal " + std::to_string(number);
        return one;
    };
    Incarnation first;
    {
        cluster::MemberStore member_store(folder.path, Name{"a"}, 77, 1000);
        first = member_store.incarnation();
        CHECK(member_store.disk().value == 77);
        CHECK(member_store.root().empty());
        CHECK(member_store.append_epoch(epoch(1)));
        CHECK(member_store.append_epoch(epoch(2)));
    }
    const std::string epochs = folder.path + "/epochs";
    SECTION("again, with a clock set back an hour") {
        cluster::MemberStore member_store(folder.path, Name{"a"}, 78, 0);
        CHECK(member_store.incarnation() > first);
        CHECK(member_store.disk().value == 77);
        CHECK(member_store.root() == "seal 2");
        CHECK(member_store.found().empty());
    }
    SECTION("cut off in the last record") {
        std::filesystem::resize_file(epochs, std::filesystem::file_size(epochs) - 3);
        cluster::MemberStore member_store(folder.path, Name{"a"}, 78, 2000);
        CHECK(member_store.root() == "seal 1");
        CHECK(member_store.found().find("cut off") != std::string::npos);
        CHECK(member_store.append_epoch(epoch(1)));
        cluster::MemberStore next(folder.path, Name{"a"}, 78, 3000);
        CHECK(next.found().empty());
    }
    SECTION("corrupt in the middle") {
        std::fstream file(epochs, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(30);
        file.put('\x7f');
        file.close();
        cluster::MemberStore member_store(folder.path, Name{"a"}, 78, 2000);
        CHECK(member_store.root().empty());
        CHECK(member_store.found().find("damaged at byte 0") != std::string::npos);
    }
    SECTION("wiped") {
        std::filesystem::remove_all(folder.path);
        cluster::MemberStore member_store(folder.path, Name{"a"}, 78, 2000);
        CHECK(member_store.disk().value == 78);
        CHECK(member_store.root().empty());
    }
    SECTION("of another member") {
        CHECK_THROWS_WITH(cluster::MemberStore(folder.path, Name{"b"}, 78, 2000),
                          Catch::Contains("belongs to member a"));
    }
}

}  // namespace tideline::test
