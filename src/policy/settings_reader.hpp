// Reads single settings by name. Throws std::invalid_argument, which names the setting, if a
// required setting is missing or a value is out of range.
#pragma once

#include <optional>
#include <stdexcept>

#include "policy/types.hpp"

namespace tideline {

class SettingsReader {
  public:
    explicit SettingsReader(Settings settings) : settings_(std::move(settings)) {}

    // Returns a required number between `min` and `max`.
    double required_number(const std::string& name, double min = 0, double max = 1e9) const {
        if (!settings_.contains(name)) {
            throw std::invalid_argument("missing term: " + name);
        }
        return number_or(name, 0, min, max);
    }
    // Returns a number between `min` and `max`, or the default value if the setting is missing.
    double number_or(const std::string& name, double default_value, double min = -1e18,
                     double max = 1e18) const {
        const auto setting = settings_.find(name);
        if (setting == settings_.end()) {
            return default_value;
        }
        const double* value = std::get_if<double>(&setting->second);
        if (!value || !(*value >= min && *value <= max)) {
            throw std::invalid_argument("term out of range: " + name);
        }
        return *value;
    }
    bool has(const std::string& name) const {
        return settings_.contains(name);
    }
    // Reads a boolean, which is false if the setting is missing.
    bool is_enabled(const std::string& name) const {
        return number_or(name, 0) != 0;
    }
    // Returns the choice that the setting names. The setting is required unless there is a default.
    template <class Value>
    Value one_of(const std::string& name, const std::map<std::string, Value>& choices,
                 const std::optional<std::string>& default_value = std::nullopt) const {
        const auto setting = settings_.find(name);
        if (setting == settings_.end() && !default_value) {
            throw std::invalid_argument("missing term: " + name);
        }
        const std::string* name_of_value = setting == settings_.end()
                                               ? &*default_value
                                               : std::get_if<std::string>(&setting->second);
        const auto value = name_of_value ? choices.find(*name_of_value) : choices.end();
        if (value == choices.end()) {
            throw std::invalid_argument("term out of range: " + name);
        }
        return value->second;
    }

  private:
    Settings settings_;
};

}  // namespace tideline
