// Location of a member's replica file, and the member's metadata in it: named values, each with a
// checksum. Header-only, because it is part of the replica store, which does I/O.
#pragma once

#include <fmt/format.h>

#include <filesystem>
#include <optional>
#include <string>
#include <utility>

#include "storage/sqlite_database.hpp"

namespace tideline::replication {

inline constexpr const char* kReplicaFileName = "held.db";

// Renames the damaged database file and removes SQLite's journal files, so that a new database can
// be created in its place.
inline void move_aside_replica_file(const std::string& folder) {
    const std::string path = folder + "/" + kReplicaFileName;
    int number = 1;
    while (std::filesystem::exists(fmt::format("{}.damaged-{}", path, number))) {
        ++number;
    }
    std::filesystem::rename(path, fmt::format("{}.damaged-{}", path, number));
    for (const char* suffix : {"-journal", "-wal", "-shm"}) {
        std::filesystem::remove(path + suffix);
    }
}

// Reads and writes the values in the table `kept`. The database has to outlive this object.
class ReplicaMetadata {
  public:
    explicit ReplicaMetadata(const storage::SqliteDatabase& database) : database_(database) {}
    // Returns nullopt if the value is missing. Throws storage::DamagedFileError if its checksum
    // does not match: an altered value must not be mistaken for one that was never stored.
    std::optional<std::string> get(const char* name) const {
        Statement row(database_, "SELECT bytes, sum FROM kept WHERE key = ?");
        row.with(1, std::string(name));
        if (!row.step()) {
            return std::nullopt;
        }
        std::string bytes = row.bytes(0);
        if (checksum_of(name, bytes) != row.number(1)) {
            throw storage::DamagedFileError(fmt::format(
                "{}: stored value '{}' does not match its checksum", database_.path(), name));
        }
        return bytes;
    }
    // Throws storage::DamagedFileError if the value is missing or altered.
    std::string required(const char* name) const {
        std::optional<std::string> bytes = get(name);
        if (!bytes) {
            throw storage::DamagedFileError(
                fmt::format("{}: stored value '{}' is missing", database_.path(), name));
        }
        return std::move(*bytes);
    }
    // Has to be called within a transaction.
    void set(const char* name, const std::string& bytes) const {
        Statement(database_, "INSERT OR REPLACE INTO kept (key, bytes, sum) VALUES (?, ?, ?)")
            .with(1, std::string(name))
            .with(2, bytes)
            .with(3, checksum_of(name, bytes))
            .step();
    }

  private:
    using Statement = storage::SqliteDatabase::Statement;
    static std::int64_t checksum_of(const char* name, const std::string& bytes) {
        return storage::seeded_checksum(bytes, storage::place_of(name));
    }

    const storage::SqliteDatabase& database_;
};

}  // namespace tideline::replication
