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
constexpr std::uint32_t kMajorVersion = 3;

// Parses the first message of `bytes`: its type, its body, and in `message_size` its total size.
// `max_bytes` limits the length that the message states.
Read next(std::string_view bytes, std::size_t max_bytes, char& type, std::string_view& body,
          std::size_t& message_size);
// The same before the startup is complete, where messages have a code in place of a type.
Read next_startup(std::string_view bytes, std::uint32_t& code, std::string_view& body,
                  std::size_t& message_size);

// Returns the total size of the first message as far as its head has been received: what its length
// states, or 0 if that is still missing.
std::size_t stated_size(std::string_view bytes);
std::size_t stated_startup_size(std::string_view bytes);

std::string startup(std::string_view user, std::string_view database);
std::string message(char type, std::string_view body);
std::string query(std::string_view text);
std::string welcome();  // the answer to a startup message, including the first ReadyForQuery
std::string ready();
std::string negotiate_protocol_version(std::uint32_t minor);
std::string empty_query_response();
std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail = {});

// Returns the value of a field of an ErrorResponse; empty if the field is missing.
std::string_view error_field(std::string_view body, char field);
// Returns whether the SQLSTATE means that the endpoint rejected the statement itself, which was
// then never run: true for the classes protocol violation, data exception and syntax error. A
// client's malformed statement must not count as a failure of the endpoint or of its build.
bool is_statement_error(std::string_view sqlstate);
// Returns the name and the value of a ParameterStatus; nothing if it is malformed.
std::optional<std::pair<std::string_view, std::string_view>> parse_parameter_status(
    std::string_view body);
// Returns whether a RowDescription describes exactly one column.
bool describes_one_column(std::string_view body);
// Returns whether the message has a body of at most `max_bytes` bytes, as far as its length has
// been received.
bool has_body_within(std::string_view bytes, std::size_t max_bytes);
// The same for a DataRow with one value, as far as its sizes have been received.
bool can_begin_single_value(std::string_view bytes, std::size_t max_bytes);
// Returns whether the body is exactly one zero-terminated text.
bool is_single_text(std::string_view body);
// Returns whether a DataRow holds exactly one value of at most `max_bytes` bytes.
bool is_single_value(std::string_view body, std::size_t max_bytes);
// Parses a load report such as "inflight=7,util=0.61". Malformed pairs are skipped.
LoadReport parse_load_report(std::string_view text);

// Parses a statement and calls `visit` with the record under the name "", then with the name and
// value of each field of the comment. Returns false if the text is not one statement in one of the
// two supported forms; the visited parts are then meaningless.
bool statement(std::string_view text,
               const std::function<void(std::string_view name, std::string_view value)>& visit);

}  // namespace tideline::net::pg
