#include "fault_tests/database_journal.hpp"

#include <sqlite3.h>

namespace tideline::fault_tests {

bool roll_back_journal(const std::string& path) {
    sqlite3* db = nullptr;
    const bool rolled_back =
        sqlite3_open(path.c_str(), &db) == SQLITE_OK &&
        sqlite3_exec(db, "BEGIN EXCLUSIVE; COMMIT", nullptr, nullptr, nullptr) == SQLITE_OK;
    return sqlite3_close(db) == SQLITE_OK && rolled_back;
}

}  // namespace tideline::fault_tests
