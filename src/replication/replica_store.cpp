#include "replication/replica_store.hpp"

#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

#include "replication/message_codec.hpp"
#include "replication/replica_metadata.hpp"

namespace tideline::replication {
namespace {

std::int64_t row_checksum(const std::string& bytes, ShardId shard_id, const std::string& key) {
    return storage::seeded_checksum(bytes, storage::place_of(key) + shard_id.value);
}

}  // namespace

ReplicaStore::ReplicaStore(const std::string& folder, const Name& name, std::uint64_t new_disk_id,
                           const ReplicaStoreSettings& settings)
    : settings_(settings) {
    try {
        open(folder, name, new_disk_id);
    } catch (const storage::DamagedFileError& error) {
        // The contents of a damaged database can't be trusted. The member starts with an empty file
        // under a new disk number, so its replicas count as lost and it catches up.
        database_.reset();
        found_ = {};
        checksums_.clear();
        move_aside_replica_file(folder);
        load_fault_ =
            fmt::format("replica file moved aside: action=catch_up reason=\"{}\"", error.what());
        open(folder, name, new_disk_id);
    }
    ready_descriptor_ = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (ready_descriptor_ < 0) {
        throw std::runtime_error("can't create an event descriptor for the replica store");
    }
    writer_ = std::thread([this] { run_writer(); });
}
ReplicaStore::~ReplicaStore() {
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    task_added_.notify_one();
    if (writer_.joinable()) {
        writer_.join();
    }
    if (ready_descriptor_ >= 0) {
        ::close(ready_descriptor_);
    }
}

void ReplicaStore::open(const std::string& folder, const Name& name, std::uint64_t new_disk_id) {
    database_ =
        std::make_unique<storage::SqliteDatabase>(folder, kReplicaFileName, settings_.journal_mode);
    database_->run("BEGIN EXCLUSIVE");
    if (database_->fresh()) {
        database_->run(
            "CREATE TABLE kept (key BLOB PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL)");
        database_->run(
            "CREATE TABLE held (slot INTEGER, key BLOB, bytes BLOB NOT NULL, sum INTEGER NOT NULL, "
            "PRIMARY KEY (slot, key)) WITHOUT ROWID");
        database_->run(
            "CREATE TABLE sums (slot INTEGER PRIMARY KEY, digest INTEGER, count INTEGER)");
        disk_ = Disk{new_disk_id};
        const ReplicaMetadata metadata(*database_);
        metadata.set("member", name.value);
        metadata.set("disk", std::to_string(disk_.value));
    }
    database_->run("COMMIT");
    if (!database_->fresh()) {
        load_database(name);
    }
    found_.start_count += 1;
    database_->run("BEGIN EXCLUSIVE");
    ReplicaMetadata(*database_).set("starts", std::to_string(found_.start_count));
    database_->run("COMMIT");
}
void ReplicaStore::load_database(const Name& name) {
    if (!database_->is_well_formed()) {
        throw storage::DamagedFileError(database_->path() + ": SQLite finds it malformed");
    }
    const ReplicaMetadata metadata(*database_);
    if (const std::string owner = metadata.required("member"); owner != name.value) {
        throw std::runtime_error(fmt::format("{} belongs to member {}", database_->path(), owner));
    }
    disk_ = Disk{std::stoull(metadata.required("disk"))};
    found_.start_count = std::stoull(metadata.required("starts"));
    const std::optional<std::string> number = metadata.get("number");
    found_.table_version = number ? TableVersion{std::stoull(*number)} : TableVersion{};
    read_rows();
    check_digests();
    std::erase_if(found_.records,
                  [&](const auto& each) { return found_.corrupt.contains(each.first); });
}

void ReplicaStore::read_rows() {
    Statement rows(*database_, "SELECT slot, key, bytes, sum FROM held");
    while (rows.step()) {
        const ShardId shard_id{static_cast<std::uint32_t>(rows.number(0))};
        const std::string key = rows.bytes(1);
        const std::string bytes = rows.bytes(2);
        wire::HeldRecord row;
        if (row_checksum(bytes, shard_id, key) != rows.number(3) || !row.ParseFromString(bytes)) {
            found_.corrupt.insert(shard_id);
            continue;
        }
        checksums_[shard_id].set_row(key_of(key), rows.number(3));
        Record record = record_from(0, row);
        record.expires_at = record.bytes_only ? settings_.keep_bytes : settings_.keep;
        found_.records.emplace_back(shard_id, std::move(record));
    }
}

// Finds rows that are missing or that were moved to another shard. Their own checksums can't reveal
// this, but the digest of the shard does.
void ReplicaStore::check_digests() {
    std::set<ShardId> checked;
    Statement sums(*database_, "SELECT slot, digest, count FROM sums");
    while (sums.step()) {
        const ShardId shard_id{static_cast<std::uint32_t>(sums.number(0))};
        const ShardChecksums& checksums = checksums_[shard_id];
        if (checksums.digest() != sums.number(1) ||
            static_cast<std::int64_t>(checksums.size()) != sums.number(2)) {
            found_.corrupt.insert(shard_id);
        }
        checked.insert(shard_id);
    }
    for (const auto& [shard_id, checksums] : checksums_) {
        if (checksums.size() > 0 && !checked.contains(shard_id)) {
            found_.corrupt.insert(shard_id);
        }
    }
}

void ReplicaStore::enqueue(Task task) {
    {
        const std::lock_guard guard(mutex_);
        tasks_.push_back(std::move(task));
    }
    task_added_.notify_one();
}
void ReplicaStore::put(WriteNumber number, ShardId shard_id, const Record& record, Seconds now) {
    wire::HeldRecord row;
    replication::put(now, record, row);
    Task task{Task::Kind::put, number, shard_id};
    task.key = record.key;
    task.bytes = row.SerializeAsString();
    enqueue(std::move(task));
}

void ReplicaStore::drop(WriteNumber number, ShardId shard_id, std::vector<Key> keys) {
    Task task{Task::Kind::drop, number, shard_id};
    task.keys = std::move(keys);
    enqueue(std::move(task));
}

void ReplicaStore::clear(WriteNumber number, ShardId shard_id) {
    enqueue(Task{Task::Kind::clear, number, shard_id});
}

void ReplicaStore::number(WriteNumber number, TableVersion version) {
    Task task{Task::Kind::store_table_version, number};
    task.table_version = version;
    enqueue(std::move(task));
}

void ReplicaStore::scrub(ShardId shard_id) {
    enqueue(Task{Task::Kind::scrub, {}, shard_id});
}

ReplicaStore::Done ReplicaStore::take_progress() {
    std::uint64_t count = 0;
    while (::read(ready_descriptor_, &count, sizeof count) > 0) {
    }
    const std::lock_guard guard(mutex_);
    Done done = done_;
    done_.corrupt.clear();
    return done;
}
void ReplicaStore::notify_owner() const {
    const std::uint64_t one = 1;
    // The eventfd counter can't overflow, because its reader resets it.
    [[maybe_unused]] const auto written = ::write(ready_descriptor_, &one, sizeof one);
}

// Runs the writer thread: writes all queued tasks in one transaction, until the store is closed or
// a write fails.
void ReplicaStore::run_writer() {
    while (true) {
        std::deque<Task> tasks;
        {
            std::unique_lock guard(mutex_);
            task_added_.wait(guard, [&] { return stopping_ || !tasks_.empty(); });
            if (tasks_.empty()) {
                return;
            }
            if (settings_.grouped) {
                tasks.swap(tasks_);
            } else {
                tasks.push_back(std::move(tasks_.front()));
                tasks_.pop_front();
            }
        }
        std::string failed;
        try {
            execute_tasks(tasks);
        } catch (const std::exception& error) {
            // After a failed fsync the contents of the disk are unknown, so nothing more is
            // written.
            failed = error.what();
        }
        {
            const std::lock_guard guard(mutex_);
            if (failed.empty()) {
                for (const Task& each : tasks) {
                    if (each.kind != Task::Kind::scrub) {
                        done_.up_to = each.number;
                    }
                }
            } else {
                done_.failed = failed;
            }
        }
        notify_owner();
        if (!failed.empty()) {
            return;
        }
    }
}
void ReplicaStore::execute_tasks(const std::deque<Task>& tasks) {
    const auto is_scrub = [](const Task& each) { return each.kind == Task::Kind::scrub; };
    if (!std::all_of(tasks.begin(), tasks.end(), is_scrub)) {
        write_transaction(tasks);
    }
    for (const Task& each : tasks) {
        if (!is_scrub(each) || is_intact_on_disk(each.shard_id)) {
            continue;
        }
        const std::lock_guard guard(mutex_);
        done_.corrupt.push_back(each.shard_id);
    }
}

// Executes all tasks in one transaction, with the digests of the shards that they change.
void ReplicaStore::write_transaction(const std::deque<Task>& tasks) {
    std::set<ShardId> changed_shards;
    database_->run("BEGIN EXCLUSIVE");
    write_tasks(tasks, changed_shards);
    for (const ShardId shard_id : changed_shards) {
        write_digest(shard_id);
    }
    database_->run("COMMIT");
    ++commits_;
}

void ReplicaStore::write_tasks(const std::deque<Task>& tasks, std::set<ShardId>& changed_shards) {
    Statement insert_statement(
        *database_, "INSERT OR REPLACE INTO held (slot, key, bytes, sum) VALUES (?, ?, ?, ?)");
    Statement delete_statement(*database_, "DELETE FROM held WHERE slot = ? AND key = ?");
    for (const Task& each : tasks) {
        switch (each.kind) {
            case Task::Kind::put:
                put_row(insert_statement, each);
                break;
            case Task::Kind::drop:
                drop_rows(delete_statement, each);
                break;
            case Task::Kind::clear:
                Statement(*database_, "DELETE FROM held WHERE slot = ?")
                    .with(1, each.shard_id.value)
                    .step();
                checksums_.erase(each.shard_id);
                break;
            case Task::Kind::store_table_version:
                ReplicaMetadata(*database_).set("number", std::to_string(each.table_version.value));
                continue;
            case Task::Kind::scrub:
                continue;
        }
        changed_shards.insert(each.shard_id);
    }
}

void ReplicaStore::put_row(Statement& insert_row, const Task& task) {
    const std::string key = bytes_of(task.key);
    const std::int64_t checksum = row_checksum(task.bytes, task.shard_id, key);
    insert_row.with(1, task.shard_id.value)
        .with(2, key)
        .with(3, task.bytes)
        .with(4, checksum)
        .step();
    insert_row.again();
    checksums_[task.shard_id].set_row(task.key, checksum);
    ++rows_;
}

void ReplicaStore::drop_rows(Statement& delete_row, const Task& task) {
    for (const Key& key : task.keys) {
        delete_row.with(1, task.shard_id.value).with(2, bytes_of(key)).step();
        delete_row.again();
        checksums_[task.shard_id].remove_row(key);
    }
}

void ReplicaStore::write_digest(ShardId shard_id) {
    const ShardChecksums& checksums = checksums_[shard_id];
    Statement(*database_, "INSERT OR REPLACE INTO sums (slot, digest, count) VALUES (?, ?, ?)")
        .with(1, shard_id.value)
        .with(2, checksums.digest())
        .with(3, static_cast<std::int64_t>(checksums.size()))
        .step();
}

bool ReplicaStore::is_intact_on_disk(ShardId shard_id) {
    // Otherwise SQLite would read its cached pages instead of the disk.
    database_->release_cached_pages();
    const ShardChecksums& expected = checksums_[shard_id];
    std::size_t count = 0;
    Statement rows(*database_, "SELECT key, bytes, sum FROM held WHERE slot = ?");
    rows.with(1, shard_id.value);
    for (; rows.step(); ++count) {
        const std::string key = rows.bytes(0);
        if (!expected.has_row(key_of(key), rows.number(2)) ||
            row_checksum(rows.bytes(1), shard_id, key) != rows.number(2)) {
            return false;
        }
    }
    return count == expected.size();
}

}  // namespace tideline::replication
