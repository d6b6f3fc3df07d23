// Tests of a planner's persistent storage: stored state is read back unchanged, and files that are
// damaged, truncated or of another planner are rejected.
#include "planner/raft_storage.hpp"

#include <rapidcheck.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace tideline::test {
namespace {

using namespace raft;
using planner::RaftStorage;
namespace fs = std::filesystem;

struct Folder {
    Folder() {
        char name[] = "/tmp/tideline-vault-XXXXXX";
        REQUIRE(::mkdtemp(name));
        path = name;
    }
    ~Folder() {
        fs::remove_all(path);
    }
    std::string db() const {
        return path + "/planner.db";
    }
    std::string bytes() const {
        std::ifstream file(db(), std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    void put(const std::string& all) const {
        std::ofstream(db(), std::ios::binary) << all;
    }
    std::string path;
};
const Name kName{"p1"};

LogEntry make_entry(std::uint64_t term, const std::string& body) {
    return {{term}, EntryKind::command, body, {}};
}
// Generates a random request that Raft could make next, and updates `model` to the state after it.
PersistRequest random_request(PersistentState& model) {
    PersistRequest request;
    const std::uint64_t last = model.snapshot.last_included_index.value + model.entries.size();
    const int kind = *rc::gen::inRange(0, 6);
    if (kind == 0) {
        request.vote_state =
            VoteState{{model.vote_state.term.value + 1}, {*rc::gen::inRange<std::uint64_t>(0, 4)}};
        model.vote_state = *request.vote_state;
    } else if (kind == 1 && !model.entries.empty()) {
        const auto count = *rc::gen::inRange<std::size_t>(1, model.entries.size() + 1);
        Snapshot snapshot{{model.snapshot.last_included_index.value + count},
                          model.entries[count - 1].term,
                          {},
                          "state"};
        snapshot.voters[{7}] = {kName, "127.0.0.1:1", true};
        model.entries.erase(model.entries.begin(),
                            model.entries.begin() + static_cast<std::ptrdiff_t>(count));
        model.snapshot = snapshot;
        request.snapshot = snapshot;
    } else if (kind == 2) {
        Snapshot snapshot{{last + *rc::gen::inRange<std::uint64_t>(1, 9)}, {9}, {}, "far"};
        model.snapshot = snapshot;
        model.entries.clear();
        request.snapshot = snapshot;
        request.discard_log = true;
    } else {
        if (kind == 3 && !model.entries.empty()) {
            const auto kept = *rc::gen::inRange<std::size_t>(0, model.entries.size());
            model.entries.resize(kept);
            request.truncate_from = {model.snapshot.last_included_index.value + kept + 1};
        }
        request.first_index = {model.snapshot.last_included_index.value + model.entries.size() + 1};
        for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
            request.entries.push_back(
                make_entry(model.vote_state.term.value, *rc::gen::arbitrary<std::string>()));
            model.entries.push_back(request.entries.back());
        }
    }
    return request;
}
PersistentState store_random_state(const Folder& folder) {
    PersistentState model;
    RaftStorage raft_storage(folder.path, kName, 5);
    raft_storage.join_cluster({77});
    for (int i = 0; i < 6; ++i) {
        raft_storage.persist({random_request(model), random_request(model)});
    }
    return model;
}

}  // namespace

TEST_CASE("any stored state is read back unchanged", "[raft_storage]") {
    CHECK(rc::check([] {
        const Folder folder;
        const PersistentState model = store_random_state(folder);
        RaftStorage again(folder.path, kName, 6);
        RC_ASSERT(again.persistent_state() == model);
        RC_ASSERT(again.disk() == Disk{5});
        RC_ASSERT(again.cluster() == ClusterId{77});
    }));
}

TEST_CASE("an altered byte is detected, or lies in unused space", "[raft_storage]") {
    CHECK(rc::check([] {
        const Folder folder;
        const PersistentState model = store_random_state(folder);
        std::string bytes = folder.bytes();
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
        folder.put(bytes);
        try {
            RaftStorage again(folder.path, kName, 6);
            RC_ASSERT(again.persistent_state() == model);
            RC_ASSERT(again.disk() == Disk{5});
        } catch (const std::runtime_error&) {
            RC_SUCCEED("found");
        }
    }));
}

TEST_CASE("a truncated file is never read as a shorter log", "[raft_storage]") {
    CHECK(rc::check([] {
        const Folder folder;
        const PersistentState model = store_random_state(folder);
        const std::string bytes = folder.bytes();
        folder.put(bytes.substr(0, *rc::gen::inRange<std::size_t>(1, bytes.size())));
        try {
            RaftStorage again(folder.path, kName, 6);
            RC_ASSERT(again.persistent_state() == model);
        } catch (const std::runtime_error&) {
            RC_SUCCEED("found");
        }
    }));
}

TEST_CASE("a disk belongs to one planner, and to one process at a time", "[raft_storage]") {
    const Folder folder;
    RaftStorage raft_storage(folder.path, kName, 5);
    CHECK_THROWS_WITH(RaftStorage(folder.path, kName, 6), Catch::Contains("locked"));
    const Folder other;
    { const RaftStorage other_storage(other.path, Name{"p2"}, 5); }
    CHECK_THROWS_WITH(RaftStorage(other.path, kName, 6), Catch::Contains("belongs to planner p2"));
}

TEST_CASE("a transaction that is not committed leaves nothing, and the next one works",
          "[raft_storage]") {
    const Folder folder;
    storage::SqliteDatabase database(folder.path, "t.db", storage::JournalMode::rollback);
    const auto rows = [&] {
        storage::SqliteDatabase::Statement count(database, "SELECT count(*) FROM t");
        REQUIRE(count.step());
        return count.number(0);
    };
    database.run("CREATE TABLE t (value INTEGER)");
    {
        const storage::Transaction transaction(database);
        database.run("INSERT INTO t VALUES (1)");
        CHECK(rows() == 1);
    }
    CHECK(rows() == 0);
    storage::Transaction transaction(database);
    database.run("INSERT INTO t VALUES (2)");
    transaction.commit();
    CHECK(rows() == 1);
}

TEST_CASE("a damaged file is distinguished from one that can't be used", "[raft_storage]") {
    const Folder folder;
    { const RaftStorage other_storage(folder.path, kName, 5); }
    folder.put("no database, but long enough to be read as the header of one: " +
               std::string(4096, 'x'));
    CHECK_THROWS_AS(RaftStorage(folder.path, kName, 6), storage::DamagedFileError);
    const Folder other;
    { const RaftStorage other_storage(other.path, Name{"p2"}, 5); }
    try {
        const RaftStorage again(other.path, kName, 6);
        FAIL("it belongs to another planner");
    } catch (const storage::DamagedFileError&) {
        FAIL("it is not damaged");
    } catch (const std::runtime_error&) {
        SUCCEED();
    }
}

TEST_CASE("a process that is killed at any moment loses nothing that was confirmed as stored",
          "[raft_storage]") {
    for (int round = 0; round < 12; ++round) {
        const Folder folder;
        int pipe_ends[2];
        REQUIRE(::pipe(pipe_ends) == 0);
        const pid_t child = ::fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            try {
                RaftStorage raft_storage(folder.path, kName, 5);
                for (std::uint64_t at = 1;; ++at) {
                    PersistRequest request;
                    request.first_index = {at};
                    request.entries.push_back(make_entry(at, std::string(at * 37 % 4000, 'x')));
                    raft_storage.persist({request});
                    if (::write(pipe_ends[1], &at, sizeof at) != sizeof at) {
                        ::_exit(1);
                    }
                }
            } catch (...) {
                ::_exit(2);
            }
        }
        ::close(pipe_ends[1]);
        std::uint64_t last = 0;
        std::uint64_t at = 0;
        // The child is killed after this many confirmed writes. Later writes may be stored or not.
        while (last < static_cast<std::uint64_t>(3 + 5 * round) &&
               ::read(pipe_ends[0], &at, sizeof at) == sizeof at) {
            last = at;
        }
        ::kill(child, SIGKILL);
        while (::read(pipe_ends[0], &at, sizeof at) == sizeof at) {
            last = at;
        }
        ::close(pipe_ends[0]);
        int status = 0;
        ::waitpid(child, &status, 0);
        REQUIRE(WIFSIGNALED(status));
        const RaftStorage again(folder.path, kName, 6);
        REQUIRE(again.persistent_state().entries.size() >= last);
        for (std::size_t i = 0; i < again.persistent_state().entries.size(); ++i) {
            REQUIRE(again.persistent_state().entries[i].term.value == i + 1);
        }
    }
}

}  // namespace tideline::test
