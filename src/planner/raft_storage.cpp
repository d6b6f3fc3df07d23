#include "planner/raft_storage.hpp"

#include <fmt/format.h>

#include <stdexcept>

#include "planner/storage_codec.hpp"

namespace tideline::planner {
namespace {

using storage::place_of;
using storage::seeded_checksum;
using storage::Transaction;

constexpr const char* kDatabaseFile = "planner.db";

// Keys of the table `kept`. Files of released versions contain them, so they must not change.
constexpr const char* kIdentityKey = "identity";
constexpr const char* kVoteStateKey = "promise";
constexpr const char* kSnapshotKey = "snapshot";
constexpr const char* kLastIndexKey = "end";

}  // namespace

RaftStorage::RaftStorage(const std::string& folder, const raft::Name& name,
                         std::uint64_t fresh_disk, JournalMode journal_mode)
    : database_(folder, kDatabaseFile, journal_mode) {
    Transaction transaction(database_);
    if (database_.fresh()) {
        create_database(name, fresh_disk);
        transaction.commit();
        return;
    }
    transaction.commit();
    load(name);
}

void RaftStorage::create_database(const raft::Name& name, std::uint64_t fresh_disk) {
    database_.run(
        "CREATE TABLE kept (key BLOB PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL)");
    database_.run(
        "CREATE TABLE log (at INTEGER PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL)");
    disk_ = raft::Disk{fresh_disk};
    wire::Identity identity;
    identity.set_name(name.value);
    identity.set_disk(disk_.value);
    put_value(kIdentityKey, identity.SerializeAsString());
}

void RaftStorage::load(const raft::Name& name) {
    if (!database_.is_well_formed()) {
        fail_damaged("SQLite finds it malformed");
    }
    read_identity(name);
    read_vote_state();
    read_snapshot();
    read_entries();
}

void RaftStorage::read_identity(const raft::Name& name) {
    wire::Identity identity;
    const auto bytes = get_value(kIdentityKey);
    if (!bytes || !identity.ParseFromString(*bytes)) {
        fail_damaged("it has no identity");
    }
    if (identity.name() != name.value) {
        throw std::runtime_error(
            fmt::format("{} belongs to planner {}", database_.path(), identity.name()));
    }
    disk_ = raft::Disk{identity.disk()};
    cluster_ = raft::ClusterId{identity.cluster()};
}

void RaftStorage::read_vote_state() {
    const auto bytes = get_value(kVoteStateKey);
    if (!bytes) {
        return;
    }
    wire::Promise vote_state;
    if (!vote_state.ParseFromString(*bytes)) {
        fail_damaged("its vote state can't be parsed");
    }
    state_.vote_state = {{vote_state.reign()}, {vote_state.voted()}};
}

void RaftStorage::read_snapshot() {
    const auto bytes = get_value(kSnapshotKey);
    if (!bytes) {
        return;
    }
    wire::Snapshot snapshot;
    if (!snapshot.ParseFromString(*bytes)) {
        fail_damaged("its snapshot can't be parsed");
    }
    state_.snapshot = decode_snapshot(snapshot);
}

// Invariant: a gap or an altered entry is never mistaken for the end of the log. Otherwise the
// planner would lose entries that it has acknowledged.
void RaftStorage::read_entries() {
    const std::uint64_t snapshot_index = state_.snapshot.last_included_index.value;
    Statement rows(database_, "SELECT at, bytes, sum FROM log ORDER BY at");
    for (std::uint64_t next = snapshot_index + 1; rows.step(); ++next) {
        const auto index = static_cast<std::uint64_t>(rows.number(0));
        if (index != next) {
            fail_damaged(fmt::format("log entry {} is missing", next));
        }
        const std::string bytes = rows.bytes(1);
        wire::LogRecord entry;
        if (seeded_checksum(bytes, index) != rows.number(2) || !entry.ParseFromString(bytes)) {
            fail_damaged(fmt::format("log entry {} was altered", index));
        }
        state_.entries.push_back(decode_entry(entry));
    }
    // The last index is stored separately, because rows at the end may be lost together with a page
    // that the table no longer refers to.
    const auto last_index = get_value(kLastIndexKey);
    if (last_index && *last_index != std::to_string(snapshot_index + state_.entries.size())) {
        fail_damaged("its log ends before the last stored entry");
    }
}

std::optional<std::string> RaftStorage::get_value(const char* key) {
    Statement row(database_, "SELECT bytes, sum FROM kept WHERE key = ?");
    row.with(1, std::string(key));
    if (!row.step()) {
        return std::nullopt;
    }
    std::string bytes = row.bytes(0);
    if (seeded_checksum(bytes, place_of(key)) != row.number(1)) {
        fail_damaged(fmt::format("its {} was altered", key));
    }
    return bytes;
}

void RaftStorage::put_value(const char* key, const std::string& bytes) {
    Statement(database_, "INSERT OR REPLACE INTO kept (key, bytes, sum) VALUES (?, ?, ?)")
        .with(1, std::string(key))
        .with(2, bytes)
        .with(3, seeded_checksum(bytes, place_of(key)))
        .step();
}

void RaftStorage::put_entry(std::uint64_t index, const raft::LogEntry& entry) {
    wire::LogRecord row;
    planner::encode(entry, row);
    const std::string bytes = row.SerializeAsString();
    Statement(database_, "INSERT INTO log (at, bytes, sum) VALUES (?, ?, ?)")
        .with(1, static_cast<std::int64_t>(index))
        .with(2, bytes)
        .with(3, seeded_checksum(bytes, index))
        .step();
}

void RaftStorage::remove_entries(const char* sql, std::uint64_t index) {
    Statement(database_, sql).with(1, static_cast<std::int64_t>(index)).step();
}

void RaftStorage::join_cluster(raft::ClusterId cluster, const raft::PersistRequest& initial_state) {
    wire::Identity identity;
    const auto bytes = get_value(kIdentityKey);
    if (!bytes || !identity.ParseFromString(*bytes)) {
        fail_damaged("it has no identity");
    }
    identity.set_cluster(cluster.value);
    Transaction transaction(database_);
    put_value(kIdentityKey, identity.SerializeAsString());
    write_requests({initial_state});
    transaction.commit();
    cluster_ = cluster;
}

void RaftStorage::persist(const std::vector<raft::PersistRequest>& requests) {
    Transaction transaction(database_);
    write_requests(requests);
    transaction.commit();
}

void RaftStorage::write_requests(const std::vector<raft::PersistRequest>& requests) {
    std::optional<std::uint64_t> last_index;
    for (const raft::PersistRequest& request : requests) {
        if (const auto changed = write_request(request)) {
            last_index = changed;
        }
    }
    if (last_index) {
        put_value(kLastIndexKey, std::to_string(*last_index));
    }
}

// Returns the last index of the log if the request changes it.
std::optional<std::uint64_t> RaftStorage::write_request(const raft::PersistRequest& request) {
    std::optional<std::uint64_t> last_index;
    if (request.vote_state) {
        wire::Promise vote_state;
        vote_state.set_reign(request.vote_state->term.value);
        vote_state.set_voted(request.vote_state->voted_for.value);
        put_value(kVoteStateKey, vote_state.SerializeAsString());
    }
    if (request.snapshot) {
        const std::uint64_t snapshot_index = request.snapshot->last_included_index.value;
        wire::Snapshot snapshot;
        planner::encode(*request.snapshot, snapshot);
        put_value(kSnapshotKey, snapshot.SerializeAsString());
        if (request.discard_log) {
            database_.run("DELETE FROM log");
            last_index = snapshot_index;
        } else {
            remove_entries("DELETE FROM log WHERE at <= ?", snapshot_index);
        }
    }
    if (request.truncate_from.value > 0) {
        remove_entries("DELETE FROM log WHERE at >= ?", request.truncate_from.value);
        last_index = request.truncate_from.value - 1;
    }
    std::uint64_t index = request.first_index.value;
    for (const auto& entry : request.entries) {
        put_entry(index, entry);
        last_index = index++;
    }
    return last_index;
}

void RaftStorage::fail_damaged(const std::string& reason) const {
    throw storage::DamagedFileError(
        fmt::format("{} is damaged: {}; empty the folder and have this planner admitted anew",
                    database_.path(), reason));
}

}  // namespace tideline::planner
