// Tests that this version reads the files that an earlier version wrote. The files in tests/stored/
// were written by commit 2f31f25. The environment variable WRITE_STORED_FILES writes them anew;
// that is allowed only for a storage format that was never released.
#include <poll.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>

#include "cluster/member_store.hpp"
#include "planner/raft_storage.hpp"
#include "planner/storage_codec.hpp"
#include "replication/replica_store.hpp"

namespace tideline::test {
namespace {

namespace fs = std::filesystem;

const cluster::Name kName{"n1"};
constexpr std::uint64_t kDisk = 77;
constexpr std::uint64_t kOtherDisk = 78;

// A temporary copy of the stored files, because opening them modifies them.
struct StoredFilesCopy {
    StoredFilesCopy() {
        char name[] = "/tmp/tideline-stored-XXXXXX";
        REQUIRE(::mkdtemp(name));
        path = name;
        if (fs::exists(STORED_FILES)) {
            fs::copy(STORED_FILES, path, fs::copy_options::recursive);
        }
    }
    ~StoredFilesCopy() {
        fs::remove_all(path);
    }
    std::string path;
};

// The database of a planner.
std::string planner_state() {
    lease::LeaseStateMachine leases;
    leases.acquire(lease::FencingToken{4}, 1000, lease::LeaseName{"audit"},
                   lease::Member{"n1", {3}});
    leases.acquire(lease::FencingToken{5}, 1001, lease::LeaseName{"audit"},
                   lease::Member{"n2", {4}});
    leases.raise_alarm(1002, lease::LeaseName{"audit"}, lease::FencingToken{4}, "split",
                       "two versions");
    leases.write_document(lease::LeaseName{"audit"}, lease::FencingToken{4}, 1,
                          "written by its holder");
    return planner::encode_state(leases, raft::VoterMembership{});
}
raft::PersistentState planner_stored_state() {
    raft::PersistentState state;
    state.vote_state = {{6}, {9}};
    state.snapshot = {{3}, {2}, {}, planner_state()};
    state.snapshot.voters[{9}] = {raft::Name{"p1"}, "127.0.0.1:1", true};
    state.snapshot.voters[{10}] = {raft::Name{"p2"}, "127.0.0.1:2", false};
    raft::LogEntry voters{{5}, raft::EntryKind::voters, {}, state.snapshot.voters};
    voters.voters[{10}].votes = true;
    state.entries = {{{5}, raft::EntryKind::no_op, {}, {}},
                     {{5}, raft::EntryKind::command, "a command", {}},
                     voters};
    return state;
}
void write_planner(const std::string& folder) {
    planner::RaftStorage raft_storage(folder, raft::Name{"p1"}, kDisk);
    raft_storage.join_cluster({55});
    const raft::PersistentState state = planner_stored_state();
    raft::PersistRequest request;
    request.vote_state = state.vote_state;
    request.snapshot = state.snapshot;
    request.first_index = {state.snapshot.last_included_index.value + 1};
    request.entries = state.entries;
    raft_storage.persist({request});
}

// The records that a member stores for other members.
std::vector<replication::Record> stored_records() {
    replication::Record attempted;
    attempted.key = {{1, 2}};
    attempted.version = {replication::TableVersion{3}, 4};
    attempted.content = 5;
    attempted.expires_at = 100;
    replication::AttemptRecord attempt;
    attempt.owner = {kName, {6}, 7};
    attempt.number = 1;
    attempt.outcome = replication::AttemptOutcome::may_have_run;
    attempt.location = {1};
    attempt.cell = {2};
    attempt.sent_at = 50;
    attempted.attempts = {attempt};
    replication::Record answered = attempted;
    answered.key = {{3, 4}};
    answered.attempts[0].outcome = replication::AttemptOutcome::answered;
    answered.answered = true;
    answered.answer = "the answer";
    replication::Record bytes;
    bytes.key = {{5, 6}};
    bytes.version = {replication::TableVersion{3}, 5};
    bytes.bytes_only = true;
    bytes.answer = "bytes that are kept";
    bytes.expires_at = 100;
    return {attempted, answered, bytes};
}
void write_replica_store(const std::string& folder) {
    replication::ReplicaStore replica_store(folder, kName, kDisk, {});
    replication::WriteNumber write;
    for (const auto& record : stored_records()) {
        write.value += 1;
        replica_store.put(write, replication::ShardId{2}, record, 50);
    }
    write.value += 1;
    replica_store.number(write, replication::TableVersion{8});
    replication::ReplicaStore::Done done;
    while (done.up_to < write) {
        pollfd ready{replica_store.ready(), POLLIN, 0};
        ::poll(&ready, 1, 1000);
        done = replica_store.take_progress();
        REQUIRE(done.failed.empty());
    }
}

// A member's own records.
audit::Epoch sealed_epoch() {
    audit::Epoch epoch;
    epoch.number = 1;
    epoch.from = 1000;
    epoch.to = 1010;
    epoch.acting.build = {4};
    epoch.acting.cap = 0.25;
    epoch.counts.trial = 3;
    epoch.digest = audit::seal_of(kName, {1000000}, {}, epoch);
    return epoch;
}
void write_member(const std::string& folder) {
    cluster::MemberStore member_store(folder, kName, kDisk, 1000);
    REQUIRE(member_store.append_epoch(sealed_epoch()));
}

}  // namespace

TEST_CASE("files that an earlier program stored are read with the same content") {
    if (std::getenv("WRITE_STORED_FILES")) {
        write_planner(STORED_FILES "/planner");
        write_replica_store(STORED_FILES "/held");
        write_member(STORED_FILES "/member");
        return;
    }
    const StoredFilesCopy copy;
    SECTION("a planner's vote, snapshot and log") {
        const planner::RaftStorage raft_storage(copy.path + "/planner", raft::Name{"p1"},
                                                kOtherDisk);
        CHECK(raft_storage.disk().value == kDisk);
        CHECK(raft_storage.cluster().value == 55);
        CHECK(raft_storage.persistent_state() == planner_stored_state());
        lease::LeaseStateMachine leases;
        raft::VoterMembership voter_membership;
        REQUIRE(planner::restore(raft_storage.persistent_state().snapshot.state, leases,
                                 voter_membership));
        const lease::Lease* lease = leases.find(lease::LeaseName{"audit"});
        REQUIRE(lease);
        CHECK(lease->now.token == lease::FencingToken{4});
        CHECK(lease->waiting.size() == 1);
        CHECK(leases.documents().at(lease::LeaseName{"audit"}).bytes == "written by its holder");
        CHECK(planner::encode_state(leases, voter_membership) == planner_state());
    }
    SECTION("the records that a member stores for others") {
        replication::ReplicaStore replica_store(copy.path + "/held", kName, kOtherDisk, {});
        CHECK(replica_store.disk().value == kDisk);
        CHECK(replica_store.load_fault().empty());
        const replication::StoredState found = replica_store.take_stored_state();
        CHECK(found.start_count == 3);  // the file has 2, and this start is counted too
        CHECK(found.table_version == replication::TableVersion{8});
        CHECK(found.corrupt.empty());
        const auto expected = stored_records();
        REQUIRE(found.records.size() == expected.size());
        for (std::size_t i = 0; i < expected.size(); ++i) {
            const auto& [shard_id, record] = found.records[i];
            CHECK(shard_id == replication::ShardId{2});
            CHECK(record.key == expected[i].key);
            CHECK(record.version == expected[i].version);
            CHECK(record.content == expected[i].content);
            CHECK(record.bytes_only == expected[i].bytes_only);
            CHECK(record.answered == expected[i].answered);
            CHECK(record.answer == expected[i].answer);
            REQUIRE(record.attempts.size() == expected[i].attempts.size());
            for (std::size_t k = 0; k < record.attempts.size(); ++k) {
                CHECK(record.attempts[k].owner == expected[i].attempts[k].owner);
                CHECK(record.attempts[k].number == expected[i].attempts[k].number);
                CHECK(record.attempts[k].outcome == expected[i].attempts[k].outcome);
                CHECK(record.attempts[k].location == expected[i].attempts[k].location);
                CHECK(record.attempts[k].cell == expected[i].attempts[k].cell);
            }
        }
    }
    SECTION("a member's incarnation and the seals of its epochs") {
        const cluster::MemberStore member_store(copy.path + "/member", kName, kOtherDisk, 0);
        CHECK(member_store.disk().value == kDisk);
        CHECK(member_store.incarnation().value == 1000001);
        CHECK(member_store.found().empty());
        CHECK(member_store.root() == sealed_epoch().digest);
    }
}

}  // namespace tideline::test
