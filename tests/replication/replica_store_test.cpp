// Tests of the replica store: stored records are read back unchanged; altered, moved or truncated
// records are detected and never used.
#include "replication/replica_store.hpp"

#include <poll.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace tideline::test {
namespace {

using namespace replication;
namespace fs = std::filesystem;

struct TemporaryFolder {
    TemporaryFolder() {
        char name[] = "/tmp/tideline-cabinet-XXXXXX";
        REQUIRE(::mkdtemp(name));
        path = name;
    }
    ~TemporaryFolder() {
        fs::remove_all(path);
    }
    std::string db() const {
        return path + "/held.db";
    }
    std::string path;
};
const Name kName{"n1"};

Record record_of(std::uint64_t key, const std::string& answer, std::uint64_t step = 1) {
    Record record;
    record.key = {{key, key * 31}};
    record.version = {TableVersion{1}, step};
    record.answered = true;
    record.answer = answer;
    record.expires_at = 100;
    return record;
}
void wait_until_stored(ReplicaStore& store, WriteNumber write) {
    while (true) {
        const auto done = store.take_progress();
        REQUIRE(done.failed.empty());
        if (done.up_to >= write) {
            return;
        }
        pollfd ready{store.ready(), POLLIN, 0};
        ::poll(&ready, 1, 1000);
    }
}
std::map<Key, std::string> read_records(const std::string& path,
                                        std::set<ShardId>* corrupt = nullptr) {
    ReplicaStore store(path, kName, 9, {});
    const StoredState found = store.take_stored_state();
    std::map<Key, std::string> all;
    for (const auto& [shard_id, record] : found.records) {
        all[record.key] = record.answer;
    }
    if (corrupt) {
        *corrupt = found.corrupt;
    }
    return all;
}

}  // namespace

TEST_CASE("stored records are read back unchanged") {
    REQUIRE(rc::check([] {
        TemporaryFolder folder;
        std::map<Key, std::pair<ShardId, std::string>> model;
        {
            ReplicaStore store(folder.path, kName, 7, {});
            const auto count = *rc::gen::inRange(1, 40);
            WriteNumber write;
            for (int i = 0; i < count; ++i) {
                write.value += 1;
                const auto which = *rc::gen::inRange<std::uint64_t>(0, 12);
                const ShardId shard_id{static_cast<std::uint32_t>(which % 3)};
                const int kind = *rc::gen::inRange(0, 8);
                const Record record =
                    record_of(which, *rc::gen::arbitrary<std::string>(), write.value);
                if (kind == 0) {
                    store.clear(write, shard_id);
                    std::erase_if(model, [&](auto& each) { return each.second.first == shard_id; });
                } else if (kind == 1) {
                    store.drop(write, shard_id, {record.key});
                    model.erase(record.key);
                } else if (kind == 2) {
                    store.number(write, TableVersion{write.value});
                } else {
                    store.put(write, shard_id, record, 50);
                    model[record.key] = {shard_id, record.answer};
                }
            }
            wait_until_stored(store, write);
        }
        std::set<ShardId> corrupt;
        const auto records_read = read_records(folder.path, &corrupt);
        RC_ASSERT(corrupt.empty());
        RC_ASSERT(records_read.size() == model.size());
        for (const auto& [key, each] : model)
            RC_ASSERT(records_read.at(key) == each.second);
    }));
}
TEST_CASE("a disk keeps its number, and each start has one of its own") {
    TemporaryFolder folder;
    Disk disk;
    for (std::uint64_t start = 1; start <= 3; ++start) {
        ReplicaStore store(folder.path, kName, 70 + start, {});
        if (start == 1) {
            disk = store.disk();
        }
        CHECK(store.disk() == disk);
        CHECK(store.take_stored_state().start_count == start + 1);
        store.number(WriteNumber{1}, TableVersion{start * 10});
        wait_until_stored(store, WriteNumber{1});
    }
    CHECK(ReplicaStore(folder.path, kName, 1, {}).take_stored_state().table_version ==
          TableVersion{30});
    CHECK_THROWS_WITH(ReplicaStore(folder.path, Name{"n2"}, 1, {}),
                      Catch::Contains("belongs to member n1"));
}
TEST_CASE(
    "a record that was altered, moved or removed marks its shard corrupt, and only that one") {
    TemporaryFolder folder;
    {
        ReplicaStore store(folder.path, kName, 7, {});
        WriteNumber write;
        for (std::uint64_t i = 0; i < 12; ++i) {
            write.value += 1;
            store.put(write, ShardId{static_cast<std::uint32_t>(i % 3)},
                      record_of(i, "the answer to " + std::to_string(i)), 50);
        }
        wait_until_stored(store, write);
    }
    const char* damage = GENERATE(
        "altered", "UPDATE held",
        "DELETE FROM held WHERE slot = 1 AND sum = (SELECT min(sum) FROM held WHERE slot = 1)",
        "UPDATE sums SET count = count + 1 WHERE slot = 1", "DELETE FROM sums WHERE slot = 1");
    if (std::string(damage) == "altered") {
        std::fstream file(folder.db(), std::ios::in | std::ios::out | std::ios::binary);
        std::string all{std::istreambuf_iterator<char>(file), {}};
        const auto at = all.find("the answer to 4");
        REQUIRE(at != std::string::npos);
        file.seekp(static_cast<std::streamoff>(at)).put('T');
    } else if (std::string(damage).starts_with("UPDATE held")) {
        // Moves a row to another shard than the one for which it was stored.
        storage::SqliteDatabase database(folder.path, "held.db", storage::JournalMode::rollback);
        database.run(
            "UPDATE held SET slot = 1 WHERE slot = 2 AND sum = (SELECT min(sum) FROM held WHERE "
            "slot = 2)");
        database.run("UPDATE sums SET digest = 0, count = 0 WHERE slot = 7");
    } else {
        storage::SqliteDatabase database(folder.path, "held.db", storage::JournalMode::rollback);
        database.run(damage);
    }
    std::set<ShardId> corrupt;
    const auto records_read = read_records(folder.path, &corrupt);
    CHECK(corrupt.contains(ShardId{1}));
    CHECK_FALSE(corrupt.contains(ShardId{0}));
    for (const auto& [key, answer] : records_read) {
        CHECK(key.value[0] % 3 != 1);
    }
}
TEST_CASE(
    "a truncated file or one that is no database is moved aside, and the disk counts as another") {
    TemporaryFolder folder;
    {
        ReplicaStore store(folder.path, kName, 7, {});
        WriteNumber write;
        for (std::uint64_t i = 0; i < 200; ++i) {
            write.value += 1;
            store.put(write, ShardId{0}, record_of(i, "x"), 50);
        }
        wait_until_stored(store, write);
    }
    if (GENERATE(true, false)) {
        fs::resize_file(folder.db(), fs::file_size(folder.db()) - 5000);
    } else {
        std::ofstream(folder.db(), std::ios::binary) << std::string(9000, 'x');
    }
    ReplicaStore store(folder.path, kName, 8, {});
    CHECK(store.disk() == Disk{8});
    CHECK(store.take_stored_state().records.empty());
    CHECK_THAT(store.load_fault(),
               Catch::Contains("replica file moved aside: action=catch_up reason=\""));
    CHECK(fs::exists(folder.db() + ".damaged-1"));
}
// Guards against a deposed primary that applies an older table again after a restart.
TEST_CASE("an altered number of the newest table is damage, not a table that was never seen") {
    TemporaryFolder folder;
    {
        ReplicaStore store(folder.path, kName, 7, {});
        store.number(WriteNumber{1}, TableVersion{30});
        wait_until_stored(store, WriteNumber{1});
    }
    const char* damage =
        GENERATE("UPDATE kept SET sum = sum + 1 WHERE CAST(key AS TEXT) = 'number'",
                 "UPDATE kept SET bytes = '3' WHERE CAST(key AS TEXT) = 'number'");
    {
        storage::SqliteDatabase database(folder.path, "held.db", storage::JournalMode::rollback);
        database.run(damage);
    }
    ReplicaStore store(folder.path, kName, 8, {});
    CHECK_THAT(store.load_fault(),
               Catch::Contains("stored value 'number' does not match its checksum"));
    CHECK(store.disk() == Disk{8});
}
TEST_CASE("scrubbing finds records that were altered while the store is open") {
    TemporaryFolder folder;
    ReplicaStore store(folder.path, kName, 7, {});
    store.put(WriteNumber{1}, ShardId{3}, record_of(1, "the answer to 1"), 50);
    wait_until_stored(store, WriteNumber{1});
    const auto scrubbed = [&] {
        store.scrub(ShardId{3});
        store.number(WriteNumber{2}, TableVersion{2});
        std::vector<ShardId> corrupt;
        for (bool stored = false; !stored;) {
            pollfd ready{store.ready(), POLLIN, 0};
            ::poll(&ready, 1, 1000);
            const auto done = store.take_progress();
            corrupt.insert(corrupt.end(), done.corrupt.begin(), done.corrupt.end());
            stored = done.up_to >= WriteNumber{2};
        }
        return corrupt;
    };
    CHECK(scrubbed().empty());
    std::fstream file(folder.db(), std::ios::in | std::ios::out | std::ios::binary);
    std::string all{std::istreambuf_iterator<char>(file), {}};
    const auto at = all.find("the answer to 1");
    REQUIRE(at != std::string::npos);
    file.clear();
    file.seekp(static_cast<std::streamoff>(at)).put('T').flush();
    CHECK(scrubbed() == std::vector<ShardId>{ShardId{3}});
}

}  // namespace tideline::test
