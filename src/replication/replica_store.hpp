// Stores the records of a member on its disk, in one SQLite file. A separate writer thread keeps a
// slow disk from blocking the event loop; tasks that arrive during a transaction are grouped into
// the next one. Each row has a checksum, and each shard a digest of its checksums, which reveal
// rows that were altered, removed or moved. All public functions have to be called on the event
// loop's thread. The stored names are older than the names in the code: the table `held` contains
// the records, `sums` the digests, and `kept` the metadata; their column `slot` is the ShardId.
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
    // Times to live of records and of stored bytes, as in ReplicaSettings.
    Seconds keep = 120;
    Seconds keep_bytes = 86400;
    storage::JournalMode journal_mode = storage::JournalMode::rollback;
    // If false, each task has a transaction of its own. For measurements.
    bool grouped = true;
};

class ReplicaStore {
  public:
    // Opens the file in the folder, or creates it with the disk number `new_disk_id`. Moves a
    // damaged file aside and creates a new one. Throws std::runtime_error if the folder can't be
    // used or if the file belongs to another member.
    ReplicaStore(const std::string& folder, const Name& name, std::uint64_t new_disk_id,
                 const ReplicaStoreSettings& settings);
    // Completes all queued tasks.
    ~ReplicaStore();
    ReplicaStore(const ReplicaStore&) = delete;
    ReplicaStore& operator=(const ReplicaStore&) = delete;

    const Disk& disk() const {
        return disk_;
    }
    // Log line about the file that was moved aside; empty if none was.
    const std::string& load_fault() const {
        return load_fault_;
    }
    // Returns the contents of the disk when it was opened. Has to be called only once.
    StoredState take_stored_state() {
        return std::move(found_);
    }

    // These functions queue tasks, which are executed in the order of the calls.
    void put(WriteNumber number, ShardId shard_id, const Record& record, Seconds now);
    void drop(WriteNumber number, ShardId shard_id, std::vector<Key> keys);
    // Removes all rows of the shard.
    void clear(WriteNumber number, ShardId shard_id);
    // Stores the version of the newest table.
    void number(WriteNumber number, TableVersion version);
    // Verifies the stored rows of the shard after the earlier tasks.
    void scrub(ShardId shard_id);

    // A file descriptor that is readable when take_progress() has news. It is owned by the store.
    int ready() const {
        return ready_descriptor_;
    }
    struct Done {
        WriteNumber up_to;             // the disk has completed this write and all earlier ones
        std::string failed;            // error after which nothing more is written; empty: none
        std::vector<ShardId> corrupt;  // shards found corrupt by scrubbing
    };
    // Returns the progress since the last call. `up_to` and `failed` are repeated by each call.
    Done take_progress();
    // Counters for measurements.
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
    void load_database(const Name& name);
    void read_rows();
    void check_digests();
    void enqueue(Task task);
    void run_writer();
    void execute_tasks(const std::deque<Task>& tasks);
    void write_transaction(const std::deque<Task>& tasks);
    void write_tasks(const std::deque<Task>& tasks, std::set<ShardId>& changed_shards);
    void put_row(Statement& insert_row, const Task& task);
    void drop_rows(Statement& delete_row, const Task& task);
    void write_digest(ShardId shard_id);
    bool is_intact_on_disk(ShardId shard_id);
    void notify_owner() const;

    const ReplicaStoreSettings settings_;
    // Used by the constructor, then only by the writer thread.
    std::unique_ptr<storage::SqliteDatabase> database_;
    Disk disk_;
    std::string load_fault_;
    StoredState found_;
    // Checksums of the rows on the disk. Used by the constructor, then only by the writer thread.
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
