#include "net/postgres_protocol.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

#include "net/limits.hpp"

namespace tideline::net::pg {
namespace {

std::uint32_t read_uint32(std::string_view bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value = value << 8 | static_cast<unsigned char>(bytes[i]);
    }
    return value;
}
std::string encode_integer(std::size_t value, int bytes = 4) {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>(value >> (8 * i) & 0xff);
    }
    return text;
}
std::string zero_terminated(std::string_view text) {
    return std::string(text) + '\0';
}
std::string parameter_status(std::string_view name, std::string_view value) {
    return message('S', zero_terminated(name) + zero_terminated(value));
}

// Tokenizer of statements; quoted values and the comment are tokens of their own.
class StatementReader {
  public:
    explicit StatementReader(std::string_view text) : remaining_(text) {}
    // Consumes the given token, in upper or lower case. Returns false if another one is next.
    bool token(std::string_view wanted) {
        skip();
        if (remaining_.size() < wanted.size()) {
            return false;
        }
        for (std::size_t i = 0; i < wanted.size(); ++i) {
            if (std::tolower(static_cast<unsigned char>(remaining_[i])) != wanted[i]) {
                return false;
            }
        }
        remaining_.remove_prefix(wanted.size());
        return true;
    }
    bool tokens(std::initializer_list<std::string_view> wanted) {
        return std::all_of(wanted.begin(), wanted.end(),
                           [this](std::string_view next) { return token(next); });
    }
    std::optional<std::string_view> quoted() {
        return between("'", "'");
    }
    std::optional<std::string_view> comment() {
        return between("/*", "*/");
    }
    bool ended() {
        token(";");
        skip();
        return remaining_.empty();
    }

  private:
    void skip() {
        while (!remaining_.empty() && std::isspace(static_cast<unsigned char>(remaining_[0]))) {
            remaining_.remove_prefix(1);
        }
    }
    std::optional<std::string_view> between(std::string_view open, std::string_view close) {
        if (!token(open)) {
            return std::nullopt;
        }
        const auto end = remaining_.find(close);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const auto inner = remaining_.substr(0, end);
        remaining_.remove_prefix(end + close.size());
        return inner;
    }
    std::string_view remaining_;
};

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}
template <class Callback>
bool for_each_pair(std::string_view text, Callback call) {  // splits text such as "a=1,b=2"
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const std::string_view pair = text.substr(0, comma);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos) {
            return false;
        }
        call(trimmed(pair.substr(0, equals)), trimmed(pair.substr(equals + 1)));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

}  // namespace

Read next(std::string_view bytes, std::size_t max_bytes, char& type, std::string_view& body,
          std::size_t& message_size) {
    if (bytes.size() < 5) {
        return Read::more;
    }
    const std::size_t length = read_uint32(bytes.substr(1));
    if (length < 4 || length > max_bytes) {
        return Read::bad;
    }
    message_size = length + 1;
    if (bytes.size() < message_size) {
        return Read::more;
    }
    type = bytes[0];
    body = bytes.substr(5, length - 4);
    return Read::whole;
}

Read next_startup(std::string_view bytes, std::uint32_t& code, std::string_view& body,
                  std::size_t& message_size) {
    if (bytes.size() < 4) {
        return Read::more;
    }
    message_size = read_uint32(bytes);
    if (message_size < 8 || message_size > kMaxStartupBytes) {
        return Read::bad;
    }
    if (bytes.size() < message_size) {
        return Read::more;
    }
    code = read_uint32(bytes.substr(4));
    body = bytes.substr(8, message_size - 8);
    return Read::whole;
}

std::size_t stated_size(std::string_view bytes) {
    return bytes.size() < 5 ? 0 : std::size_t{read_uint32(bytes.substr(1))} + 1;
}
std::size_t stated_startup_size(std::string_view bytes) {
    return bytes.size() < 4 ? 0 : read_uint32(bytes);
}

std::string message(char type, std::string_view body) {
    std::string bytes(1, type);
    bytes += encode_integer(body.size() + 4);
    return bytes.append(body);
}
std::string startup(std::string_view user, std::string_view database) {
    std::string body = encode_integer(kMajorVersion << 16) + zero_terminated("user") +
                       zero_terminated(user) + zero_terminated("database") +
                       zero_terminated(database) + '\0';
    return encode_integer(body.size() + 4) + body;
}
std::string query(std::string_view text) {
    return message('Q', zero_terminated(text));
}
std::string ready() {
    return message('Z', "I");
}
std::string welcome() {
    return message('R', encode_integer(0)) + parameter_status("server_version", "15.0") +
           parameter_status("server_encoding", "UTF8") +
           parameter_status("client_encoding", "UTF8") +
           parameter_status("standard_conforming_strings", "on") +
           message('K', encode_integer(1) + encode_integer(1)) + ready();
}
std::string negotiate_protocol_version(std::uint32_t minor) {
    return message('v', encode_integer(minor) + encode_integer(0));
}
std::string empty_query_response() {
    return message('I', {}) + ready();
}
std::string error(std::string_view severity, std::string_view code, std::string_view text,
                  std::string_view detail) {
    std::string body = 'S' + zero_terminated(severity) + 'V' + zero_terminated(severity) + 'C' +
                       zero_terminated(code) + 'M' + zero_terminated(text);
    if (!detail.empty()) {
        body += 'D' + zero_terminated(detail);
    }
    return message('E', body + '\0');
}

std::string_view error_field(std::string_view body, char field) {
    while (!body.empty() && body[0] != '\0') {
        const auto end = body.find('\0', 1);
        if (end == std::string_view::npos) {
            break;
        }
        if (body[0] == field) {
            return body.substr(1, end - 1);
        }
        body.remove_prefix(end + 1);
    }
    return {};
}

bool is_statement_error(std::string_view sqlstate) {
    return sqlstate.starts_with("08") || sqlstate.starts_with("22") || sqlstate.starts_with("42");
}

std::optional<std::pair<std::string_view, std::string_view>> parse_parameter_status(
    std::string_view body) {
    const auto middle = body.find('\0');
    if (middle == std::string_view::npos) {
        return std::nullopt;
    }
    const auto end = body.find('\0', middle + 1);
    if (end == std::string_view::npos || end + 1 != body.size()) {
        return std::nullopt;
    }
    return std::pair{body.substr(0, middle), body.substr(middle + 1, end - middle - 1)};
}

bool has_body_within(std::string_view bytes, std::size_t max_bytes) {
    return bytes.size() < 5 ||
           (read_uint32(bytes.substr(1)) >= 4 && read_uint32(bytes.substr(1)) <= max_bytes + 4);
}
bool can_begin_single_value(std::string_view bytes, std::size_t max_bytes) {
    if (!has_body_within(bytes, max_bytes + 6) ||
        (bytes.size() >= 5 && read_uint32(bytes.substr(1)) < 10)) {
        return false;
    }
    if (bytes.size() >= 7 && (bytes[5] != 0 || bytes[6] != 1)) {
        return false;
    }
    return bytes.size() < 11 || read_uint32(bytes.substr(1)) - 10 == read_uint32(bytes.substr(7));
}
bool is_single_text(std::string_view body) {
    return !body.empty() && body.find('\0') == body.size() - 1;
}

// The body holds the number of columns (2 bytes), then the name of the only one, its terminator,
// and 18 bytes: table, column, type, size, modifier and format.
bool describes_one_column(std::string_view body) {
    return body.size() > 2 && body[0] == 0 && body[1] == 1 &&
           body.find('\0', 2) + 19 == body.size();
}

bool is_single_value(std::string_view body, std::size_t max_bytes) {
    if (body.size() < 6 || body[0] != 0 || body[1] != 1) {
        return false;
    }
    const std::size_t size = read_uint32(body.substr(2));
    return size <= max_bytes && body.size() == 6 + size;
}

LoadReport parse_load_report(std::string_view text) {
    LoadReport load;
    for_each_pair(text, [&](std::string_view name, std::string_view value) {
        double read = 0;
        const auto end = std::from_chars(value.data(), value.data() + value.size(), read);
        if (end.ec == std::errc{} && end.ptr == value.data() + value.size() &&
            std::isfinite(read)) {
            load[std::string(name)] = read;
        }
    });
    return load;
}

bool statement(std::string_view text,
               const std::function<void(std::string_view name, std::string_view value)>& visit) {
    StatementReader reader(text);
    std::optional<std::string_view> record;
    if (reader.token("select")) {
        if (!reader.tokens({"v", "from", "records", "where", "k", "="}) ||
            !(record = reader.quoted())) {
            return false;
        }
    } else if (reader.token("insert")) {
        if (!reader.tokens({"into", "records", "(", "k", ",", "v", ")", "values", "("}) ||
            !(record = reader.quoted()) || !reader.token(",") || !reader.quoted() ||
            !reader.tokens({")", "returning", "v"})) {
            return false;
        }
    } else {
        return false;
    }
    const auto comment = reader.comment();
    if (!comment || !reader.ended()) {
        return false;
    }
    visit("", *record);
    return for_each_pair(trimmed(*comment), visit);
}

}  // namespace tideline::net::pg
