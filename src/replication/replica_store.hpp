// The records of a member on its disk: one SQLite file. A writer thread of its own keeps a slow
// disk from blocking the event loop; all tasks that come during a transaction go into the next one.
// Each row has a checksum, and each shard a digest of them, by which altered, missing and moved
// rows are found. All public calls belong to the event loop's thread. Stored names are older than
// the names here: the table `held` has the records, `sums` the digests, `kept` the values of the
// member; their column `slot` is the ShardId.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "replication/replica.hpp"
#include "replication/shard_checksums.hpp"
#include "storage/sqlite_database.hpp"

namespace tideline::replication {

struct ReplicaStoreSettings {
    // Times to live of records and of bytes, as in ReplicaSettings.
    Seconds keep = 120;
    Seconds keep_bytes = 86400;
    storage::JournalMode journal_mode = storage::JournalMode::rollback;
    // False: a transaction for each task, for measurements.
    bool grouped = true;
};

class ReplicaStore {
  public:
    // Opens the file in the folder, or creates it as `new_disk_id`. A damaged file is moved aside,
    // and a new one created. Throws std::runtime_error where the folder can't be used, or the file
    // is of another member.
    ReplicaStore(const std::string& folder, const Name& name, std::uint64_t new_disk_id,
                 const ReplicaStoreSettings& settings);
    // Writes all tasks first.
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;

    const Disk& disk() const {
        return disk_;
    }
    // A line on the file that was moved aside; empty: none was.
    const std::string& load_fault() const {
        return load_fault_;
    }
    // What the disk held when it was opened. To be called once.
    StoredState take_found() {
        return std::move(found_);
    }

    // Tasks, written in the order of the calls.
    void put(WriteNumber number, ShardId shard_id, const Record& record, Seconds now);
    void drop(WriteNumber number, ShardId shard_id, std::vector<Key> keys);
    void clear(WriteNumber number, ShardId shard_id);
    void number(WriteNumber number, TableVersion version);
    // Reads the shard back, after the tasks before.
    void scrub(ShardId shard_id);

    // A descriptor, readable once take_done has something new; owned by this.
    int ready() const {
        return ready_descriptor_;
    }
    struct Done {
        WriteNumber up_to;             // the disk has this write and all before it
        std::string failed;            // why nothing more is written; empty: no failure
        std::vector<ShardId> corrupt;  // found by scrubbing
    };
    // What was done since the last call. `up_to` and `failed` are repeated.
    Done take_done();
    // For measurements.
    std::uint64_t commits() const {
        return commits_;
    }
    std::uint64_t rows() const {
        return rows_;
    }

  private:
    struct Task {
        enum class Kind { put, drop, clear, store_table_version, scrub };
        Kind kind = Kind::put;
        WriteNumber number{};
        ShardId shard_id{};
        Key key{};
        std::string bytes{};
        std::vector<Key> keys{};
        TableVersion table_version{};
    };
    using Statement = storage::SqliteDatabase::Statement;
    void open(const std::string& folder, const Name& name, std::uint64_t new_disk_id);
    void read(const Name& name);
    void read_rows();
    void check_digests();
    void enqueue(Task task);
    void run_writer();
    void write(const std::deque<Task>& tasks);
    void write_rows(const std::deque<Task>& tasks);
    void write_each(const std::deque<Task>& tasks, std::set<ShardId>& changed_shards);
    void put_row(Statement& insert_row, const Task& task);
    void drop_rows(Statement& delete_row, const Task& task);
    void write_digest(ShardId shard_id);
    bool is_intact_on_disk(ShardId shard_id);
    void notify_owner() const;

    const ReplicaStoreSettings settings_;
    // Of the constructor, then of the writer thread.
    std::unique_ptr<storage::SqliteDatabase> database_;
    Disk disk_;
    std::string load_fault_;
    StoredState found_;
    // Of the rows on the disk. Of the constructor, then of the writer thread.
    std::map<ShardId, ShardChecksums> checksums_;
    int ready_descriptor_ = -1;
    // Guards `tasks_`, `done_` and `stopping_`.
    std::mutex mutex_;
    std::condition_variable task_added_;
    std::deque<Task> tasks_;
    Done done_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> commits_{0};
    std::atomic<std::uint64_t> rows_{0};
    std::thread writer_;
};

}  // namespace tideline::replication
