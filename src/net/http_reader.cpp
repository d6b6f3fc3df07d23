#include "net/http_reader.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "net/limits.hpp"

namespace tideline::net {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";

std::string to_lower(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}
bool read_number(std::string_view text, int base, unsigned long long& value) {
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, base);
    return !text.empty() && read.ec == std::errc{} && read.ptr == end;
}
std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

}  // namespace

void HttpReader::finish(Handler& handler) {
    state_ = State::head;
    handler.on_end();
}

bool HttpReader::parse_head(std::string_view head, Handler& handler) {
    // The status line, for example "HTTP/1.1 200 OK".
    unsigned long long status = 0;
    if (!head.starts_with(kVersion) || head.size() < 12 || head[8] != ' ' ||
        !read_number(head.substr(9, 3), 10, status)) {
        return false;
    }
    bool chunked = false;
    bool has_length = false;
    for (auto end = head.find('\n'); end != std::string_view::npos; end = head.find('\n')) {
        head.remove_prefix(end + 1);
        const std::string_view line = head.substr(0, head.find('\n'));
        const auto colon = line.find(':');
        if (colon == std::string_view::npos) {
            continue;
        }
        const std::string name = to_lower(line.substr(0, colon));
        const std::string_view value = trimmed(line.substr(colon + 1));
        if (name == "transfer-encoding") {
            chunked = to_lower(value) == "chunked";
        }
        if (name == "content-length") {
            if (!read_number(value, 10, remaining_)) {
                return false;
            }
            has_length = true;
        }
    }
    if (status < 200) {
        return true;  // an interim response, which the final one follows
    }
    const bool without_body = status == 204 || status == 304;
    state_ = without_body ? State::head
             : chunked    ? State::chunk_line
             : has_length ? State::length
                          : State::until_close;
    handler.on_head(static_cast<int>(status));
    if (without_body || (state_ == State::length && remaining_ == 0)) {
        finish(handler);
    }
    return true;
}

std::size_t HttpReader::read(std::string_view bytes, Handler& handler) {
    std::size_t used = 0;
    while (used < bytes.size() && state_ != State::malformed) {
        const std::size_t read = read_part(bytes.substr(used), handler);
        if (read == 0) {
            break;
        }
        used += read;
    }
    return used;
}

// Returns the number of bytes consumed; 0 if more are needed or the response is malformed.
std::size_t HttpReader::read_part(std::string_view bytes, Handler& handler) {
    switch (state_) {
        case State::head:
            return read_head(bytes, handler);
        case State::length:
        case State::chunk:
            return read_body(bytes, handler);
        case State::chunk_line:
        case State::chunk_end:
        case State::trailer:
            return read_line(bytes, handler);
        case State::until_close:
            handler.on_body(bytes);
            return bytes.size();
        case State::malformed:
            break;
    }
    return 0;
}

// Input that can't begin a head is rejected at once: otherwise the end of the head would be awaited
// in vain.
std::size_t HttpReader::read_head(std::string_view bytes, Handler& handler) {
    constexpr std::string_view kEndOfHead = "\r\n\r\n";
    const auto end = bytes.find(kEndOfHead);
    if (end == std::string_view::npos) {
        const std::string_view prefix = bytes.substr(0, kVersion.size());
        if (bytes.size() > kMaxHttpHeadBytes || !kVersion.starts_with(prefix)) {
            state_ = State::malformed;
        }
        return 0;
    }
    if (!parse_head(bytes.substr(0, end), handler)) {
        state_ = State::malformed;
    }
    return end + kEndOfHead.size();
}

std::size_t HttpReader::read_body(std::string_view bytes, Handler& handler) {
    const auto part =
        static_cast<std::size_t>(std::min<unsigned long long>(remaining_, bytes.size()));
    remaining_ -= part;
    const bool last = remaining_ == 0;
    const bool chunk = state_ == State::chunk;
    if (last && chunk) {
        state_ = State::chunk_end;
    }
    handler.on_body(bytes.substr(0, part));
    if (last && !chunk) {
        finish(handler);
    }
    return part;
}

std::size_t HttpReader::read_line(std::string_view bytes, Handler& handler) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) {
        if (bytes.size() > max_line_bytes()) {
            state_ = State::malformed;
        }
        return 0;
    }
    const std::string_view line = trimmed(bytes.substr(0, end));
    if (state_ == State::chunk_end) {
        state_ = line.empty() ? State::chunk_line : State::malformed;
    } else if (state_ == State::trailer) {
        if (line.empty()) {
            finish(handler);
        }
    } else if (!read_number(trimmed(line.substr(0, line.find(';'))), 16, remaining_)) {
        state_ = State::malformed;
    } else {
        state_ = remaining_ == 0 ? State::trailer : State::chunk;
    }
    return end + 1;
}

std::size_t HttpReader::max_line_bytes() const {
    constexpr std::size_t kLineEndBytes = 2;
    switch (state_) {
        case State::chunk_line:
            return kMaxChunkLineBytes;
        case State::chunk_end:
            return kLineEndBytes;
        default:
            return kMaxHttpHeadBytes;
    }
}

void HttpReader::connection_ended(Handler& handler) {
    if (state_ == State::until_close) {
        finish(handler);
    }
}

}  // namespace tideline::net
