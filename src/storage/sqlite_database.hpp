// A SQLite file that this process locks exclusively, with its statements and transactions. Each
// failure throws a std::runtime_error whose message is one line that names the file.
#pragma once

#include <sqlite3.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace tideline::storage {

// How SQLite makes a transaction durable. A rollback journal needs two or three fsyncs, but leaves
// all data in one file at rest. A write-ahead log needs one fsync, but a truncated log can't be
// told from one that was never longer.
enum class JournalMode { rollback, write_ahead };

// Thrown if the file is not a database, is malformed, or has a row that fails its checksum.
struct DamagedFileError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class SqliteDatabase {
  public:
    // Opens the file, or creates it and its folder. fresh() tells whether it was created.
    SqliteDatabase(const std::string& folder, const std::string& file, JournalMode journal_mode);
    const std::string& path() const {
        return path_;
    }
    // Whether the file did not exist before.
    bool fresh() const {
        return fresh_;
    }
    // Executes statements that return no rows.
    void run(const char* sql);
    // Whether SQLite's quick check finds the file well-formed.
    bool is_well_formed();
    // Drops the cached pages, so that the next reads come from the file.
    void release_cached_pages() {
        sqlite3_db_release_memory(db_.get());
    }

    // A prepared statement, which the destructor finalizes. Parameters are numbered from 1, columns
    // from 0.
    class Statement {
      public:
        Statement(const SqliteDatabase& database, const char* sql);
        ~Statement() {
            sqlite3_finalize(handle_);
        }
        Statement(const Statement&) = delete;
        Statement& operator=(const Statement&) = delete;
        // These bind the parameter at the position.
        Statement& with(int at, std::int64_t value);
        Statement& with(int at, const std::string& bytes);
        // Advances to the next row; returns false if there is none.
        bool step();
        // Resets the statement, so that it can be executed again.
        void again() {
            sqlite3_reset(handle_);
        }
        // These return the value of the column at the position.
        std::int64_t number(int at) {
            return sqlite3_column_int64(handle_, at);
        }
        std::string bytes(int at);

      private:
        const SqliteDatabase& database_;
        sqlite3_stmt* handle_ = nullptr;
    };

  private:
    friend class Transaction;
    // Throws the present SQLite error; `operation` names the operation that failed.
    [[noreturn]] void throw_error(const std::string& operation) const;
    struct Close {
        void operator()(sqlite3* db) const {
            sqlite3_close(db);
        }
    };
    std::string path_;
    bool fresh_ = false;
    std::unique_ptr<sqlite3, Close> db_;
};

// An exclusive transaction. The destructor rolls it back unless commit() was called and succeeded.
class Transaction {
  public:
    explicit Transaction(SqliteDatabase& database);
    ~Transaction();
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    // Commits the transaction, which is durable when this returns. Throws std::runtime_error on
    // failure.
    void commit();

  private:
    SqliteDatabase& database_;
    bool committed_ = false;
};

// Returns the checksum of a row. It is needed because SQLite detects a torn write but not an
// altered byte. It also covers the place of the row, a number that is derived from its key, so that
// a row that was moved to another key does not match.
std::int64_t seeded_checksum(std::string_view bytes, std::uint64_t place);
// Returns the place of a row that has a text as its key.
std::uint64_t place_of(std::string_view key);

}  // namespace tideline::storage
