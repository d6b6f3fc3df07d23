// The persistent storage of a planner: its vote state, log and snapshot in one SQLite file. Each
// row has a checksum, because SQLite detects a torn write but not an altered byte.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "raft/types.hpp"
#include "storage/sqlite_database.hpp"

namespace tideline::planner {

class RaftStorage {
  public:
    using JournalMode = storage::JournalMode;

    // Opens the file in the folder, or creates it with `fresh_disk` as the id of the disk. Throws
    // storage::DamagedFileError if the file is damaged, and std::runtime_error if it can't be used
    // or belongs to another planner. The message is one line for the operator.
    RaftStorage(const std::string& folder, const raft::Name& name, std::uint64_t fresh_disk,
                JournalMode journal_mode = JournalMode::rollback);
    ~RaftStorage() = default;
    RaftStorage(const RaftStorage&) = delete;
    RaftStorage& operator=(const RaftStorage&) = delete;

    raft::Disk disk() const {
        return disk_;
    }
    // The cluster that the disk belongs to; 0 if none.
    raft::ClusterId cluster() const {
        return cluster_;
    }
    // The state that was on the disk when it was opened.
    const raft::PersistentState& persistent_state() const {
        return state_;
    }
    // Assigns the disk to a cluster and writes the initial state in one transaction. With only one
    // of the two a planner could become leader without a cluster, or belong to a cluster without a
    // log.
    void join_cluster(raft::ClusterId cluster, const raft::PersistRequest& initial_state = {});
    // Writes all requests in one transaction, which is durable when this returns. Throws
    // std::runtime_error on failure; then no message that depends on the requests may be sent.
    void persist(const std::vector<raft::PersistRequest>& requests);

  private:
    using Statement = storage::SqliteDatabase::Statement;

    void create_database(const raft::Name& name, std::uint64_t fresh_disk);
    void load(const raft::Name& name);
    void read_identity(const raft::Name& name);
    void read_vote_state();
    void read_snapshot();
    void read_entries();
    std::optional<std::string> get_value(const char* key);
    void put_value(const char* key, const std::string& bytes);
    void put_entry(std::uint64_t index, const raft::LogEntry& entry);
    void write_requests(const std::vector<raft::PersistRequest>& requests);
    std::optional<std::uint64_t> write_request(const raft::PersistRequest& request);
    void remove_entries(const char* sql, std::uint64_t index);
    [[noreturn]] void fail_damaged(const std::string& reason) const;

    storage::SqliteDatabase database_;
    raft::Disk disk_;
    raft::ClusterId cluster_;
    raft::PersistentState state_;
};

}  // namespace tideline::planner
