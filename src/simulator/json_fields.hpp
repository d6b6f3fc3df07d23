// Readers of the fields of a JSON event. Each throws Malformed, naming the field, if the field is
// missing or has another type.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "policy/types.hpp"

namespace tideline::simulator {

using nlohmann::json;

constexpr double kSecondsPerMicrosecond = 1e-6;

// Input that does not follow the simulator's protocol.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline const json& field(const json& from, const char* name) {
    if (!from.is_object()) {
        throw Malformed(std::string("an object is expected around '") + name + "'");
    }
    const auto it = from.find(name);
    if (it == from.end()) {
        throw Malformed(std::string("field '") + name + "' is missing");
    }
    return *it;
}
inline std::int64_t integer_value(const json& value, const char* name) {
    if (!value.is_number_integer()) {
        throw Malformed(std::string("'") + name + "' is not a whole number");
    }
    return value.get<std::int64_t>();
}
// A non-negative integer.
inline std::int64_t integer(const json& from, const char* name) {
    const auto value = integer_value(field(from, name), name);
    if (value < 0) {
        throw Malformed(std::string("'") + name + "' is " + std::to_string(value) +
                        "; allowed is 0 or more");
    }
    return value;
}
inline std::int64_t integer_or(const json& from, const char* name, std::int64_t default_value) {
    return from.contains(name) ? integer(from, name) : default_value;
}
// An index into a list of `count` entries; 0 if the field is missing.
inline int index_or_zero(const json& from, const char* name, int count) {
    const auto value = integer_or(from, name, 0);
    if (value >= count) {
        throw Malformed(std::string("'") + name + "' is " + std::to_string(value) +
                        "; allowed is less than " + std::to_string(count));
    }
    return static_cast<int>(value);
}
inline double number(const json& from, const char* name) {
    const json& value = field(from, name);
    if (!value.is_number()) {
        throw Malformed(std::string("'") + name + "' is not a number");
    }
    return value.get<double>();
}
inline std::string text(const json& from, const char* name) {
    const json& value = field(from, name);
    if (!value.is_string()) {
        throw Malformed(std::string("'") + name + "' is not a text");
    }
    return value.get<std::string>();
}
// A boolean; false if the field is missing.
inline bool boolean_or_false(const json& from, const char* name) {
    const auto it = from.find(name);
    if (it == from.end()) {
        return false;
    }
    if (!it->is_boolean()) {
        throw Malformed(std::string("'") + name + "' is not true or false");
    }
    return it->get<bool>();
}
// A duration that the field gives in microseconds; 0 if the field is missing.
inline Seconds duration(const json& from, const char* name) {
    return static_cast<double>(integer_or(from, name, 0)) * kSecondsPerMicrosecond;
}

// The value to which `known` maps the text of the field.
template <class Enum>
Enum enum_value(const json& from, const char* name, const std::map<std::string, Enum>& known) {
    const std::string value = text(from, name);
    const auto found = known.find(value);
    if (found != known.end()) {
        return found->second;
    }
    std::string allowed;
    for (const auto& [known_name, ignored] : known) {
        allowed += (allowed.empty() ? "" : ", ") + known_name;
    }
    throw Malformed(std::string("'") + name + "' is '" + value + "'; allowed are " + allowed);
}

}  // namespace tideline::simulator
