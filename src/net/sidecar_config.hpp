// The configuration of a sidecar: one JSON object, read at the start and again at SIGHUP.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "net/tcp_connection.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// A configuration that has been read and validated. `settings` also holds the times that the
// discovery protocol specifies, in seconds.
struct SidecarConfig {
    std::string name;
    Address listen;
    Address discovery;
    Address platform;
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 0;   // 0 if the configuration sets no limit
    std::size_t max_memory_bytes = 0;  // 0 if the configuration sets no limit
    nlohmann::json initial_endpoint_list;
    nlohmann::json initial_release_state;
    Settings settings;
    std::string text;  // the text of the file
    // Returns the value of a numeric setting. Throws std::runtime_error that names the setting if
    // it is missing or not a number.
    double required_number(const std::string& setting) const;
};

// Reads and validates a configuration file. Throws std::exception with a one-line message that
// names the file, the field or setting, its value, and the allowed values.
SidecarConfig read_sidecar_config(const std::string& path);

}  // namespace tideline::net
