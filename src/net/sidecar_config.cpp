#include "net/sidecar_config.hpp"

#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "net/limits.hpp"
#include "policy/routing_policy.hpp"
#include "settings_from_json.hpp"

namespace tideline::net {
namespace {

using nlohmann::json;

constexpr int kHexBase = 16;
constexpr double kBytesPerMegabyte = 1024 * 1024;
constexpr double kMaxMemoryMegabytes = 1e9;
constexpr Seconds kMaxDuration = 1e9;  // upper limit of the settings that are durations

// Quotes the value of a field for an error message: escapes it, so that the message stays on one
// line and the quotes are unambiguous.
std::string quoted(const std::string& value) {
    const std::string escaped = json(value).dump(-1, ' ', true, json::error_handler_t::replace);
    return "'" + escaped.substr(1, escaped.size() - 2) + "'";
}

Address required_address(const json& root, const std::string& pointer) {
    const json::json_pointer at(pointer);
    if (!root.contains(at) || !root[at].is_string()) {
        throw std::runtime_error(pointer.substr(1) + " is missing; required is host:port");
    }
    const auto text = root[at].get<std::string>();
    const auto address = address_of(text);
    if (!address) {
        throw std::runtime_error(pointer.substr(1) + " is " + quoted(text) +
                                 "; allowed is host:port in digits, as 127.0.0.1:7801");
    }
    return *address;
}

std::uint64_t required_seed(const json& root) {
    if (!root.contains("seed") || !root["seed"].is_string()) {
        throw std::runtime_error("seed is missing; required is a text of hex digits");
    }
    const auto text = root["seed"].get<std::string>();
    std::uint64_t seed = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seed, kHexBase).ec != std::errc{}) {
        throw std::runtime_error("seed is " + quoted(text) + "; allowed is a number in hex digits");
    }
    return seed;
}

// Returns the memory limit of the process in bytes; 0 if there is none.
std::size_t optional_memory(const json& root) {
    const json::json_pointer memory("/limits/memory_mb");
    if (!root.contains(memory) || !root[memory].is_number()) {
        return 0;
    }
    const double megabytes = root[memory].get<double>();
    const bool usable = megabytes > 0 && megabytes < kMaxMemoryMegabytes;
    return usable ? static_cast<std::size_t>(megabytes * kBytesPerMegabyte) : 0;
}

// A host that ignores every decision, for a routing policy that is constructed only to validate its
// settings.
class NullHost : public Host {
    void attempt(RequestId, const EndpointId&, Seconds) override {}
    void reject(RequestId, Seconds) override {}
    void fail(RequestId) override {}
    void send_health_check(const EndpointId&) override {}
    void watch_endpoint_list() override {}
    void vote(Build, Stage, Vote) override {}
    void set_timer(Seconds, TimerId) override {}
    void log_event(const std::string&) override {}
};

// Throws if the sidecar could not start with these settings. They are checked at a reload too,
// although they take effect only at a restart: otherwise an invalid file would go unnoticed until a
// sidecar is restarted with it.
void check_settings(const SidecarConfig& config) {
    for (const char* setting : {"allowed.connect_time", "allowed.keep_idle", "release.vote_wait"}) {
        const double value = config.required_number(setting);
        if (!(value > 0 && value < kMaxDuration)) {
            throw std::runtime_error(
                fmt::format("setting {} is {} s; allowed is more than 0 s and less than {:.0f} s",
                            setting, value, kMaxDuration));
        }
    }
    if (!config.settings.contains("operations.0.name")) {
        throw std::runtime_error(
            "setting operations.0.name is missing; required is at least one request class");
    }
    NullHost host;
    const RoutingPolicy policy(host, config.settings, 0, 0);
}

// Parses and validates a configuration. Throws std::exception with a one-line message that names
// the field or setting.
SidecarConfig parse_config(const std::string& text) {
    SidecarConfig config;
    config.text = text;
    const json root = json::parse(text, nullptr, false);
    if (!root.is_object()) {
        throw std::runtime_error("not a JSON object");
    }
    config.name = root.contains("name") && root["name"].is_string()
                      ? root["name"].get<std::string>()
                      : "sidecar";
    config.listen = required_address(root, "/listen");
    config.discovery = required_address(root, "/discovery");
    config.platform = required_address(root, "/deployer/address");
    config.seed = required_seed(root);
    const json::json_pointer sockets("/limits/sockets");
    if (root.contains(sockets) && root[sockets].is_number_unsigned()) {
        config.max_descriptors = root[sockets].get<std::size_t>();
    }
    config.max_memory_bytes = optional_memory(root);
    config.initial_endpoint_list = root.value("known", json::object());
    config.initial_release_state = root["deployer"].value("news", json());
    if (!root.contains("settings") || !root["settings"].is_object()) {
        throw std::runtime_error("settings is missing; required is a JSON object");
    }
    config.settings = settings_from_json(root["settings"]);
    config.settings["list.told_within"] = kMaxEndpointListAge;
    config.settings["list.told_after_move"] = kMaxEndpointListAgeAfterMove;
    check_settings(config);
    return config;
}

}  // namespace

double SidecarConfig::required_number(const std::string& setting) const {
    const auto it = settings.find(setting);
    if (it == settings.end()) {
        throw std::runtime_error("setting " + setting + " is missing; required is a number");
    }
    const double* value = std::get_if<double>(&it->second);
    if (!value) {
        throw std::runtime_error("setting " + setting + " is a text; allowed is a number");
    }
    return *value;
}

SidecarConfig read_sidecar_config(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error(path + ": can't be read");
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    try {
        return parse_config(text);
    } catch (const std::exception& error) {
        throw std::runtime_error(path + ": " + error.what());
    }
}

}  // namespace tideline::net
