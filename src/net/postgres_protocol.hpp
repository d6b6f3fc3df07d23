// The parts of version 3 of the PostgreSQL protocol that simple queries need. Takes and returns
// bytes; performs no I/O. Views in results point into the argument.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "policy/types.hpp"

namespace tideline::net::pg {

// Result of parsing a message: complete, incomplete so far, or malformed.
enum class Read { whole, more, bad };

// Codes of the messages that a client may send before its startup message, and the major protocol
// version of the startup message.
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssRequest = 80877104;
constexpr std::uint32_t kMajor = 3;

// Parses the first message of `bytes`: its type, its body, and in `whole` its total size. `most`
// limits the length that the message states.
Read next(std::string_view bytes, std::size_t most, char& type, std::string_view& body,
          std::size_t& whole);
// The same before the startup is complete, where messages have a code in place of a type.
Read next_startup(std::string_view bytes, std::uint32_t& code, std::string_view& body,
                  std::size_t& whole);

std::string startup(std::string_view user, std::string_view database);
std::string message(char type, std::string_view body);
std::string query(std::string_view text);
std::string welcome();  // the answer to a startup message, including the first ReadyForQuery
std::string ready();
std::string negotiate(std::uint32_t minor);
std::string empty_answer();
std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail = {});

// Returns the value of a field of an ErrorResponse; empty if the field is missing.
std::string_view error_field(std::string_view body, char field);
// Returns whether the SQLSTATE means that the endpoint rejected the statement itself, which was
// then never run: true for the classes protocol violation, data exception and syntax error. A
// client's malformed statement must not count as a failure of the endpoint or of its build.
bool blames_statement(std::string_view code);
// Returns the name and the value of a ParameterStatus; nothing if it is malformed.
std::optional<std::pair<std::string_view, std::string_view>> parameter(std::string_view body);
// Returns whether a RowDescription describes exactly one column.
bool one_column_described(std::string_view body);
// Returns whether the message has a body of at most `most` bytes, as far as its length has been
// received.
bool within(std::string_view bytes, std::size_t most);
// The same for a DataRow with one value, as far as its sizes have been received.
bool begins_value(std::string_view bytes, std::size_t most);
// Returns whether the body is exactly one zero-terminated text.
bool one_text(std::string_view body);
// Returns whether a DataRow holds exactly one value of at most `most` bytes.
bool one_value(std::string_view body, std::size_t most);
// Parses a load report such as "inflight=7,util=0.61". Malformed pairs are skipped.
LoadReport load(std::string_view text);

// Parses a statement and calls `visit` with the record under the name "", then with the name and
// value of each field of the comment. Returns false if the text is not one statement in one of the
// two supported forms; the visited parts are then meaningless.
bool statement(std::string_view text,
               const std::function<void(std::string_view name, std::string_view value)>& visit);

}  // namespace tideline::net::pg
