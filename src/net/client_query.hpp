// Parser of the simple queries that clients send. Each query is one request. Performs no I/O.
#pragma once

#include <cstddef>
#include <string_view>
#include <variant>

#include "net/client_error.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// A query as the client wrote it. All views point into the text that was parsed, for a connection
// its input buffer, and are valid only during the call that passes the query.
struct ClientQuery {
    std::string_view id;
    std::string_view statement;
    std::size_t budget_offset = 0;  // offset of the time budget in `statement`, in bytes
    std::size_t budget_size = 0;    // length of the time budget in `statement`, in bytes
    std::string_view request_class;
    std::string_view tenant;
    std::string_view record;
    std::string_view fingerprint;  // empty if the client sent none
    Seconds budget = 0;            // how long the client waits for the answer, s
};

// Parses a query. Returns the error with which to close the connection if it is no valid request.
std::variant<ClientQuery, ClientError> read_client_query(std::string_view text);

}  // namespace tideline::net
