// The journal of an SQLite database whose process was killed.
#pragma once

#include <string>

namespace tideline::fault_tests {

// Rolls back the journal of the database at `path`, or writes it back, so that nothing restores
// pages or the size of the file after damage that is done to the database. Returns false if that
// fails.
bool roll_back_journal(const std::string& path);

}  // namespace tideline::fault_tests
