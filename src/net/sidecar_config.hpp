// The configuration of a sidecar, one JSON object: read at the start and again at SIGHUP.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "net/tcp_connection.hpp"
#include "policy/types.hpp"

namespace tideline::net {

// As read and checked. `settings` also holds the times that the discovery protocol gives, in s.
struct SidecarConfig {
    std::string name;
    Address listen;
    Address discovery;  // of discovery
    Address platform;
    std::uint64_t seed = 0;
    std::size_t max_descriptors = 0;       // descriptors; 0: no limit given
    nlohmann::json initial_endpoint_list;  // the endpoint list to start with
    nlohmann::json initial_release_state;  // the release stage to start with
    Settings settings;
    std::string text;                               // as it was read
    double need(const std::string& setting) const;  // throws std::runtime_error, naming the setting
};

// Throws std::exception with one line that names the file, the field or setting, its value, and
// what is allowed.
SidecarConfig read_sidecar_config(const std::string& path);

}  // namespace tideline::net
