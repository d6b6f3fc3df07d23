// Splits a stream of bytes into its JSON objects in whatever layout: one a line, several on a line,
// or one over many lines. Takes bytes; does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace tideline::net {

class JsonObjectSplitter {
  public:
    // malformed: no object can begin or go on like this; too_long: an object exceeds the limit.
    enum class Result { ok, malformed, too_long };

    // Calls `received` with each complete object as it came, and with "" for each empty line
    // between objects. After anything but `ok` the stream is of no further use. `max_bytes`: of one
    // object.
    template <class Callback>
    Result add(std::string_view bytes, std::size_t max_bytes, Callback received) {
        for (const char c : bytes) {
            if (!is_within_object()) {
                if (c == '\n' && std::exchange(line_empty_, true)) {
                    received(std::string());
                }
                if (is_space(c)) {
                    continue;
                }
                if (c != '{') {
                    return Result::malformed;
                }
                line_empty_ = false;
            } else if (object_.size() >= max_bytes) {
                return Result::too_long;
            }
            if (!accept(c)) {
                return Result::malformed;
            }
            object_ += c;
            if (!open_brackets_.empty()) {
                continue;
            }
            std::string object;
            object.swap(object_);
            received(object);
        }
        return Result::ok;
    }
    // Whether an object has begun and is not complete.
    bool is_within_object() const {
        return !open_brackets_.empty();
    }

  private:
    // What may come next, apart from white space. An object ends as malformed with the first byte
    // that can't continue it: one that was cut off would otherwise swallow what follows it.
    enum class Expected { first_key, key, colon, value, first_value, after };
    static bool is_space(char c) {
        return c == ' ' || c == '\t' || c == '\r' || c == '\n';
    }
    bool accept(char c);
    bool close(char opened);

    std::string object_;         // its bytes so far
    std::string open_brackets_;  // brackets not yet closed
    Expected expected_ = Expected::value;
    bool in_string_ = false;
    bool escaped_ = false;
    bool in_key_ = false;      // the string is the name of a member
    bool in_literal_ = false;  // a number, true, false or null
    bool line_empty_ = true;
};

}  // namespace tideline::net
