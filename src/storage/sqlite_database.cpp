#include "storage/sqlite_database.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::storage {
namespace {

// Short, because another process that has the file open is a mistake, and will not close it soon.
constexpr int kBusyTimeoutMs = 500;

}  // namespace

SqliteDatabase::SqliteDatabase(const std::string& folder, const std::string& file,
                               JournalMode journal_mode)
    : path_(folder + "/" + file) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (!std::filesystem::is_directory(folder)) {
        throw std::runtime_error("not a directory, and can't be created: " + folder);
    }
    fresh_ = !std::filesystem::exists(path_);
    sqlite3* db = nullptr;
    const int opened = sqlite3_open(path_.c_str(), &db);
    db_.reset(db);
    if (opened != SQLITE_OK) {
        throw_error("open");
    }
    sqlite3_busy_timeout(db, kBusyTimeoutMs);
    // Invariant: only one process has the file open. Two planners on one disk could both vote in
    // the same term.
    run("PRAGMA locking_mode = EXCLUSIVE");
    run(journal_mode == JournalMode::rollback ? "PRAGMA journal_mode = PERSIST"
                                              : "PRAGMA journal_mode = WAL");
    run("PRAGMA synchronous = FULL");
}
void SqliteDatabase::run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) {
        throw_error(sql);
    }
}
bool SqliteDatabase::is_well_formed() {
    Statement check(*this, "PRAGMA quick_check(1)");
    return check.step() && check.bytes(0) == "ok";
}
void SqliteDatabase::throw_error(const std::string& operation) const {
    const std::string reason =
        fmt::format("{}: {} ({})", path_, sqlite3_errmsg(db_.get()), operation.substr(0, 40));
    const int code = sqlite3_errcode(db_.get());
    if (code == SQLITE_CORRUPT || code == SQLITE_NOTADB) {
        throw DamagedFileError(reason);
    }
    throw std::runtime_error(reason);
}

SqliteDatabase::Statement::Statement(const SqliteDatabase& database, const char* sql)
    : database_(database) {
    if (sqlite3_prepare_v2(database.db_.get(), sql, -1, &handle_, nullptr) != SQLITE_OK) {
        database.throw_error(sql);
    }
}
SqliteDatabase::Statement& SqliteDatabase::Statement::with(int at, std::int64_t value) {
    sqlite3_bind_int64(handle_, at, value);
    return *this;
}
SqliteDatabase::Statement& SqliteDatabase::Statement::with(int at, const std::string& bytes) {
    sqlite3_bind_blob(handle_, at, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
    return *this;
}
bool SqliteDatabase::Statement::step() {
    const int result = sqlite3_step(handle_);
    if (result == SQLITE_ROW) {
        return true;
    }
    if (result != SQLITE_DONE) {
        database_.throw_error(sqlite3_sql(handle_));
    }
    return false;
}
std::string SqliteDatabase::Statement::bytes(int at) {
    const void* data = sqlite3_column_blob(handle_, at);
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(handle_, at));
    return data ? std::string(static_cast<const char*>(data), size) : std::string{};
}

Transaction::Transaction(SqliteDatabase& database) : database_(database) {
    database_.run("BEGIN EXCLUSIVE");
}
Transaction::~Transaction() {
    if (!committed_) {
        // A failed rollback does no harm: SQLite rolls back when the file is opened next.
        sqlite3_exec(database_.db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    }
}
void Transaction::commit() {
    database_.run("COMMIT");
    committed_ = true;
}

std::int64_t seeded_checksum(std::string_view bytes, std::uint64_t place) {
    return static_cast<std::int64_t>(
        XXH3_64bits_withSeed(bytes.data(), bytes.size(), place + bytes.size()));
}
std::uint64_t place_of(std::string_view key) {
    return XXH3_64bits(key.data(), key.size());
}

}  // namespace tideline::storage
