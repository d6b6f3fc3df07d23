// Splits a byte stream into its JSON objects in any layout: one per line, several on a line, or one
// over many lines. Takes bytes; performs no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace tideline::net {

class JsonObjectSplitter {
  public:
    // malformed: the input can't begin or continue an object; too_long: an object exceeds the size
    // limit.
    enum class Result { ok, malformed, too_long };

    // Calls `received` with the text of each complete object, and with "" for each empty line
    // between objects. After any result but `ok` the splitter must not be used any more.
    // `max_bytes` limits the size of one object.
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
    // Returns whether an object has begun and is not complete.
    bool is_within_object() const {
        return !open_brackets_.empty();
    }

  private:
    // The tokens that may come next, apart from white space. The splitter reports an object as
    // malformed at the first byte that can't continue it: a truncated object would otherwise
    // swallow whatever follows it.
    enum class Expected { first_key, key, colon, value, first_value, after };
    static bool is_space(char c) {
        return c == ' ' || c == '\t' || c == '\r' || c == '\n';
    }
    bool accept(char c);
    bool close(char opened);

    std::string object_;         // text of the current object so far
    std::string open_brackets_;  // brackets that are still open, outermost first
    Expected expected_ = Expected::value;
    bool in_string_ = false;
    bool escaped_ = false;
    bool in_key_ = false;      // the current string is the name of a member
    bool in_literal_ = false;  // a number, true, false or null
    bool line_empty_ = true;
};

}  // namespace tideline::net
