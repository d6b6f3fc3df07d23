#include "net/json_object_splitter.hpp"

namespace tideline::net {

bool JsonObjectSplitter::close(char opened) {
    if (open_brackets_.empty() || open_brackets_.back() != opened) {
        return false;
    }
    open_brackets_.pop_back();
    expected_ = Expected::after;
    return true;
}

// Returns whether the byte can continue the object. For numbers and literals only the characters
// are checked; the JSON parser that receives the object checks the rest.
bool JsonObjectSplitter::accept(char c) {
    if (in_string_) {
        if (escaped_) {
            escaped_ = false;
        } else if (c == '\\') {
            escaped_ = true;
        } else if (c == '"') {
            in_string_ = false;
            expected_ = in_key_ ? Expected::colon : Expected::after;
        }
        return static_cast<unsigned char>(c) >= 0x20;
    }
    const bool literal = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == '-' || c == '+' ||
                         c == '.' || c == 'E';
    if (in_literal_ && literal) {
        return true;
    }
    in_literal_ = false;
    if (is_space(c)) {
        return true;
    }
    const bool value = expected_ == Expected::value || expected_ == Expected::first_value;
    switch (c) {
        case '{':
        case '[':
            if (!value && !open_brackets_.empty()) {
                return false;
            }
            open_brackets_ += c;
            expected_ = c == '{' ? Expected::first_key : Expected::first_value;
            return true;
        case '}':
            return (expected_ == Expected::first_key || expected_ == Expected::after) && close('{');
        case ']':
            return (expected_ == Expected::first_value || expected_ == Expected::after) &&
                   close('[');
        case '"':
            in_key_ = expected_ == Expected::first_key || expected_ == Expected::key;
            return in_string_ = in_key_ || value;
        case ':':
            if (expected_ != Expected::colon) {
                return false;
            }
            expected_ = Expected::value;
            return true;
        case ',':
            if (expected_ != Expected::after) {
                return false;
            }
            expected_ = open_brackets_.back() == '{' ? Expected::key : Expected::value;
            return true;
        default:
            if (!value || !literal) {
                return false;
            }
            in_literal_ = true;
            expected_ = Expected::after;
            return true;
    }
}

}  // namespace tideline::net
