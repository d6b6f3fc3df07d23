#include "net/client_query.hpp"

#include <charconv>
#include <cmath>
#include <optional>

#include "net/postgres_protocol.hpp"

namespace tideline::net {
namespace {

constexpr Seconds kSecondsPerMillisecond = 1e-3;

// Parses a number of milliseconds. Returns nothing unless all of `text` is a finite, non-negative
// number.
std::optional<double> read_milliseconds(std::string_view text) {
    double milliseconds = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, milliseconds);
    if (text.empty() || read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    if (!std::isfinite(milliseconds) || milliseconds < 0) {
        return std::nullopt;
    }
    return milliseconds;
}

}  // namespace

std::variant<ClientQuery, ClientError> read_client_query(std::string_view text) {
    ClientQuery query;
    query.statement = text;
    std::string_view budget;
    const bool readable = pg::statement(text, [&](std::string_view name, std::string_view value) {
        if (name.empty()) {
            query.record = value;
        } else if (name == "id") {
            query.id = value;
        } else if (name == "c") {
            query.request_class = value;
        } else if (name == "t") {
            query.tenant = value;
        } else if (name == "k") {
            query.fingerprint = value;
        } else if (name == "d") {
            budget = value;
        }
    });
    if (!readable || query.id.empty() || query.request_class.empty()) {
        return ClientError::not_a_request;
    }
    const auto milliseconds = read_milliseconds(budget);
    if (!milliseconds) {
        return ClientError::malformed_budget;
    }
    query.budget = *milliseconds * kSecondsPerMillisecond;
    query.budget_offset = static_cast<std::size_t>(budget.data() - text.data());
    query.budget_size = budget.size();
    return query;
}

}  // namespace tideline::net
