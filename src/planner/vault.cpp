#include "planner/vault.hpp"

#include <fmt/format.h>
#include <sqlite3.h>

#include <filesystem>
#include <stdexcept>

#include "planner/codec.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::planner {
namespace {

constexpr int kBusyWait = 500;  // ms: another process that has the file open is a mistake, not a queue

// Danger: a row that was moved to another place would fit its sum. The place is part of it.
std::int64_t sum_of(std::string_view bytes, std::uint64_t place) {
    return static_cast<std::int64_t>(XXH3_64bits_withSeed(bytes.data(), bytes.size(), place + bytes.size()));
}
std::uint64_t place_of(const char* key) { return XXH3_64bits(key, std::char_traits<char>::length(key)); }

}  // namespace

void Vault::Close::operator()(::sqlite3* db) const { sqlite3_close(db); }

class Vault::Statement {
  public:
    Statement(const Vault& vault, const char* sql) : vault_(vault) {
        if (sqlite3_prepare_v2(vault.db_.get(), sql, -1, &its_, nullptr) != SQLITE_OK) vault.failed(sql);
    }
    ~Statement() { sqlite3_finalize(its_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& with(int at, std::int64_t value) {
        sqlite3_bind_int64(its_, at, value);
        return *this;
    }
    Statement& with(int at, const std::string& bytes) {
        sqlite3_bind_blob(its_, at, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
        return *this;
    }
    bool step() {
        const int result = sqlite3_step(its_);
        if (result == SQLITE_ROW) return true;
        if (result != SQLITE_DONE) vault_.failed(sqlite3_sql(its_));
        return false;
    }
    std::int64_t number(int at) { return sqlite3_column_int64(its_, at); }
    std::string bytes(int at) {
        const void* data = sqlite3_column_blob(its_, at);
        const auto size = static_cast<std::size_t>(sqlite3_column_bytes(its_, at));
        return data ? std::string(static_cast<const char*>(data), size) : std::string{};
    }

  private:
    const Vault& vault_;
    sqlite3_stmt* its_ = nullptr;
};

void Vault::failed(const std::string& doing) const {
    throw std::runtime_error(
        fmt::format("{}: {} ({})", path_, sqlite3_errmsg(db_.get()), doing.substr(0, 40)));
}
void Vault::damaged(const std::string& what) const {
    throw std::runtime_error(
        fmt::format("{} is damaged: {}; empty the folder and have this planner admitted anew", path_, what));
}
void Vault::run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) != SQLITE_OK) failed(sql);
}

Vault::Vault(const std::string& folder, const consensus::Name& name, std::uint64_t fresh_disk, Seal seal)
    : path_(folder + "/planner.db") {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (!std::filesystem::is_directory(folder)) throw std::runtime_error("no folder: " + folder);
    const bool fresh = !std::filesystem::exists(path_);
    sqlite3* db = nullptr;
    const int opened = sqlite3_open(path_.c_str(), &db);
    db_.reset(db);
    if (opened != SQLITE_OK) failed("open");
    sqlite3_busy_timeout(db, kBusyWait);
    // Danger: two processes over one disk would each vote. The file is this process's alone.
    run("PRAGMA locking_mode = EXCLUSIVE");
    run(seal == Seal::journal ? "PRAGMA journal_mode = PERSIST" : "PRAGMA journal_mode = WAL");
    run("PRAGMA synchronous = FULL");
    if (fresh) {
        run("BEGIN EXCLUSIVE");
        run("CREATE TABLE kept (key BLOB PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL)");
        run("CREATE TABLE log (at INTEGER PRIMARY KEY, bytes BLOB NOT NULL, sum INTEGER NOT NULL)");
        disk_ = consensus::Disk{fresh_disk};
        wire::Identity identity;
        identity.set_name(name.value), identity.set_disk(disk_.value);
        put("identity", identity.SerializeAsString());
        run("COMMIT");
    } else {
        run("BEGIN EXCLUSIVE");
        run("COMMIT");
        read(name);
    }
}
Vault::~Vault() = default;

void Vault::read(const consensus::Name& name) {
    {
        Statement check(*this, "PRAGMA quick_check(1)");
        if (!check.step() || check.bytes(0) != "ok") damaged("SQLite finds it malformed");
    }
    std::string bytes;
    wire::Identity identity;
    if (!get("identity", bytes) || !identity.ParseFromString(bytes)) damaged("it has no identity");
    if (identity.name() != name.value)
        throw std::runtime_error(fmt::format("{} belongs to planner {}", path_, identity.name()));
    disk_ = consensus::Disk{identity.disk()};
    cluster_ = consensus::Cluster{identity.cluster()};
    if (get("promise", bytes)) {
        wire::Promise promise;
        if (!promise.ParseFromString(bytes)) damaged("its promise can't be read");
        kept_.promise = {{promise.reign()}, {promise.voted()}};
    }
    if (get("snapshot", bytes)) {
        wire::Snapshot snapshot;
        if (!snapshot.ParseFromString(bytes)) damaged("its snapshot can't be read");
        kept_.snapshot = snapshot_from(snapshot);
    }
    Statement rows(*this, "SELECT at, bytes, sum FROM log ORDER BY at");
    for (std::uint64_t next = kept_.snapshot.last.value + 1; rows.step(); ++next) {
        const auto at = static_cast<std::uint64_t>(rows.number(0));
        // Danger: a gap, or an altered record, taken for the end of the log would take back what was
        // promised.
        if (at != next) damaged(fmt::format("record {} is missing", next));
        const std::string body = rows.bytes(1);
        wire::LogRecord record;
        if (sum_of(body, at) != rows.number(2) || !record.ParseFromString(body))
            damaged(fmt::format("record {} was altered", at));
        kept_.records.push_back(record_from(record));
    }
    // Danger: rows that went with a page which no longer hangs on the table. The end is told besides.
    std::string end;
    if (get("end", end) && end != std::to_string(kept_.snapshot.last.value + kept_.records.size()))
        damaged("its log ends before what was stored");
}

bool Vault::get(const char* key, std::string& bytes) {
    Statement row(*this, "SELECT bytes, sum FROM kept WHERE key = ?");
    row.with(1, std::string(key));
    if (!row.step()) return false;
    bytes = row.bytes(0);
    if (sum_of(bytes, place_of(key)) != row.number(1)) damaged(fmt::format("its {} was altered", key));
    return true;
}
void Vault::put(const char* key, const std::string& bytes) {
    Statement(*this, "INSERT OR REPLACE INTO kept (key, bytes, sum) VALUES (?, ?, ?)")
        .with(1, std::string(key))
        .with(2, bytes)
        .with(3, sum_of(bytes, place_of(key)))
        .step();
}
void Vault::put_record(std::uint64_t at, const consensus::Record& record) {
    wire::LogRecord row;
    planner::put(record, row);
    const std::string bytes = row.SerializeAsString();
    Statement(*this, "INSERT INTO log (at, bytes, sum) VALUES (?, ?, ?)")
        .with(1, static_cast<std::int64_t>(at))
        .with(2, bytes)
        .with(3, sum_of(bytes, at))
        .step();
}
void Vault::belongs(consensus::Cluster cluster, const consensus::Storing& first) {
    wire::Identity identity;
    std::string bytes;
    if (!get("identity", bytes) || !identity.ParseFromString(bytes)) damaged("it has no identity");
    identity.set_cluster(cluster.value);
    run("BEGIN EXCLUSIVE");
    put("identity", identity.SerializeAsString());
    put_all({first});
    run("COMMIT");
    cluster_ = cluster;
}

void Vault::store(const std::vector<consensus::Storing>& all) {
    run("BEGIN EXCLUSIVE");
    put_all(all);
    run("COMMIT");
}
void Vault::put_all(const std::vector<consensus::Storing>& all) {
    std::optional<std::uint64_t> end;
    const auto drop = [&](const char* sql, std::uint64_t at) {
        Statement(*this, sql).with(1, static_cast<std::int64_t>(at)).step();
    };
    for (const consensus::Storing& each : all) {
        if (each.promise) {
            wire::Promise promise;
            promise.set_reign(each.promise->reign.value), promise.set_voted(each.promise->voted.value);
            put("promise", promise.SerializeAsString());
        }
        if (each.snapshot) {
            wire::Snapshot snapshot;
            planner::put(*each.snapshot, snapshot);
            put("snapshot", snapshot.SerializeAsString());
            if (each.clears) {
                run("DELETE FROM log");
                end = each.snapshot->last.value;
            } else {
                drop("DELETE FROM log WHERE at <= ?", each.snapshot->last.value);
            }
        }
        if (each.cut.value > 0) {
            drop("DELETE FROM log WHERE at >= ?", each.cut.value);
            end = each.cut.value - 1;
        }
        std::uint64_t at = each.first.value;
        for (const auto& record : each.records) {
            put_record(at, record);
            end = at++;
        }
    }
    if (end) put("end", std::to_string(*end));
}

}  // namespace tideline::planner
