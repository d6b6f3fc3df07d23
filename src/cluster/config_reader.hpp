// Reads configuration files with libconfig. Each fault names the line, the field, the value and the
// allowed values. Reading continues after a fault, so that all of them are reported.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <libconfig.h++>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "cluster/cluster_config.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::cluster {

using libconfig::Setting;

// Creates parsers of single settings for the tables that are passed to group(). Collects faults and
// throws nothing itself.
class ConfigReader {
  public:
    using SettingParser = std::function<void(const Setting&)>;
    explicit ConfigReader(std::vector<ConfigError>& faults) : faults_(faults) {}

    void fault(const Setting& at, const std::string& what) {
        const std::string path = at.getPath();
        faults_.push_back({static_cast<int>(at.getSourceLine()),
                           path.empty() ? what : fmt::format("{}: {}", path, what)});
    }
    void group(const Setting& from, const std::map<std::string, SettingParser>& known) {
        if (!from.isGroup()) {
            return fault(from, "is not a group; allowed: { name = value; ... }");
        }
        for (int i = 0; i < from.getLength(); ++i) {
            const auto parser = known.find(from[i].getName());
            if (parser == known.end()) {
                fault(from[i], "is not a known setting; allowed: " + names_of(known));
            } else {
                parser->second(from[i]);
            }
        }
    }
    SettingParser text(std::string& to) {
        return [this, &to](const Setting& from) {
            if (from.getType() != Setting::TypeString || !*from.c_str()) {
                return fault(from, "is not a text; allowed: a text in quotation marks, not empty");
            }
            to = from.c_str();
        };
    }
    SettingParser boolean(bool& to) {
        return [this, &to](const Setting& from) {
            if (from.getType() != Setting::TypeBoolean) {
                return fault(from, "is not a boolean; allowed: true or false");
            }
            to = from;
        };
    }
    SettingParser address(std::string& to) {
        return [this, &to](const Setting& from) {
            if (from.getType() != Setting::TypeString) {
                return fault(from, fmt::format("is not a text; allowed: {}", kAddressForm));
            }
            if (!net::address_of(from.c_str())) {
                return fault(from, fmt::format("\"{}\" is not an address; allowed: {}",
                                               from.c_str(), kAddressForm));
            }
            to = from.c_str();
        };
    }
    SettingParser addresses(std::vector<std::string>& to) {
        return [this, &to](const Setting& from) {
            if (!from.isArray() && !from.isList()) {
                return fault(from, "is not a list; allowed: [ \"host:port\", ... ]");
            }
            for (int i = 0; i < from.getLength(); ++i) {
                to.emplace_back();
                address(to.back())(from[i]);
            }
        };
    }
    template <class Number>
    SettingParser number(Number& to, double min_value, double max_value, const char* unit = "") {
        return [this, &to, min_value, max_value, unit](const Setting& from) {
            if (!from.isNumber()) {
                return fault(from, fmt::format("is not a number; allowed: {}{} to {}{}", min_value,
                                               unit, max_value, unit));
            }
            const double value = from.getType() == Setting::TypeFloat ? static_cast<double>(from)
                                 : from.getType() == Setting::TypeInt64
                                     ? static_cast<double>(static_cast<long long>(from))
                                     : static_cast<double>(static_cast<int>(from));
            if (!(value >= min_value && value <= max_value)) {
                return fault(from, fmt::format("{}{} is not from {}{} to {}{}", value, unit,
                                               min_value, unit, max_value, unit));
            }
            if (std::is_integral_v<Number> && value != std::floor(value)) {
                return fault(from, fmt::format("{}{} is not a whole number; allowed: {}{} to {}{}",
                                               value, unit, min_value, unit, max_value, unit));
            }
            to = static_cast<Number>(value);
        };
    }

  private:
    static constexpr const char* kAddressForm = "host:port in digits, as 10.0.0.1:7000";
    static std::string names_of(const std::map<std::string, SettingParser>& known) {
        std::string names;
        for (const auto& [name, parser] : known) {
            names += (names.empty() ? "" : ", ") + name;
        }
        return names;
    }

    std::vector<ConfigError>& faults_;
};

// Parses `text` and calls `read` with a ConfigReader and the root setting. Returns the faults,
// ordered by line.
template <class Read>
std::vector<ConfigError> parse_config_text(const std::string& text, Read read) {
    std::vector<ConfigError> faults;
    libconfig::Config config;
    try {
        config.readString(text);
    } catch (const libconfig::ParseException& error) {
        return {{error.getLine(), error.getError()}};
    }
    ConfigReader reader(faults);
    read(reader, config.getRoot());
    std::stable_sort(faults.begin(), faults.end(),
                     [](auto& a, auto& b) { return a.line < b.line; });
    return faults;
}
// Reads the file. Throws std::runtime_error with one line per fault: file, line and description.
template <class Config>
Config read_config_file(const std::string& path,
                        std::vector<ConfigError> (*read)(const std::string&, Config&)) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error(path + ": cannot be read");
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    Config config;
    std::string messages;
    for (const ConfigError& error : read(text, config)) {
        messages += (messages.empty() ? "" : "\n") + text_of(path, error);
    }
    if (!messages.empty()) {
        throw std::runtime_error(messages);
    }
    return config;
}

}  // namespace tideline::cluster
