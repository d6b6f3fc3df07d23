// The file of a member's records, and what it says of the member itself: single values by name,
// each with a checksum. Header-only: it belongs to the store, which does I/O.
#pragma once

#include <fmt/format.h>

#include <filesystem>
#include <optional>
#include <string>
#include <utility>

#include "storage/sqlite_database.hpp"

namespace tideline::replication {

inline constexpr const char* kReplicaFileName = "held.db";

// Renames the damaged database, and removes the files beside it.
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

// Values of the table `kept`. The database outlives this.
class ReplicaMetadata {
  public:
    explicit ReplicaMetadata(const storage::SqliteDatabase& database) : database_(database) {}
    // Nothing where the value is missing. Throws storage::DamagedFileError where it was altered:
    // an altered value may not pass for one that was never stored.
    std::optional<std::string> get(const char* name) const {
        Statement row(database_, "SELECT bytes, sum FROM kept WHERE key = ?");
        row.with(1, std::string(name));
        if (!row.step()) {
            return std::nullopt;
        }
        std::string bytes = row.bytes(0);
        if (checksum_of(name, bytes) != row.number(1)) {
            throw storage::DamagedFileError(
                fmt::format("{}: its {} is altered", database_.path(), name));
        }
        return bytes;
    }
    // Throws storage::DamagedFileError where it is missing or altered.
    std::string required(const char* name) const {
        std::optional<std::string> bytes = get(name);
        if (!bytes) {
            throw storage::DamagedFileError(
                fmt::format("{}: its {} is missing", database_.path(), name));
        }
        return std::move(*bytes);
    }
    // Belongs into a transaction of the caller.
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
        return storage::sum_of(bytes, storage::place_of(name));
    }

    const storage::SqliteDatabase& database_;
};

}  // namespace tideline::replication
