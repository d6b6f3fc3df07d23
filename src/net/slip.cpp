#include "net/slip.hpp"

#include <charconv>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "terms_of.hpp"

namespace tideline::net {
namespace {

using nlohmann::json;

Address need_address(const json& from, const std::string& pointer) {
    const json::json_pointer at(pointer);
    if (!from.contains(at) || !from[at].is_string())
        throw std::runtime_error("missing: " + pointer.substr(1));
    const auto address = address_of(from[at].get<std::string>());
    if (!address) throw std::runtime_error("no address: " + pointer.substr(1));
    return *address;
}

}  // namespace

double Slip::need(const std::string& term) const {
    const auto it = terms.find(term);
    const double* value = it == terms.end() ? nullptr : std::get_if<double>(&it->second);
    if (!value) throw std::runtime_error("missing term: " + term);
    return *value;
}

Slip read_slip(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("can't read " + path);
    Slip slip;
    slip.text.assign(std::istreambuf_iterator<char>(file), {});
    const json from = json::parse(slip.text, nullptr, false);
    if (!from.is_object()) throw std::runtime_error("no JSON object in " + path);
    slip.name =
        from.contains("name") && from["name"].is_string() ? from["name"].get<std::string>() : "sidecar";
    slip.listen = need_address(from, "/listen");
    slip.list = need_address(from, "/discovery");
    slip.platform = need_address(from, "/deployer/address");
    if (!from.contains("seed") || !from["seed"].is_string()) throw std::runtime_error("missing: seed");
    const std::string seed = from["seed"].get<std::string>();
    if (std::from_chars(seed.data(), seed.data() + seed.size(), slip.seed, 16).ec != std::errc{})
        throw std::runtime_error("no number in hex digits: seed");
    const json::json_pointer sockets("/limits/sockets");
    if (from.contains(sockets) && from[sockets].is_number_unsigned())
        slip.sockets = from[sockets].get<std::size_t>();
    slip.known = from.value("known", json::object());
    slip.news = from["deployer"].value("news", json());
    if (!from.contains("settings") || !from["settings"].is_object())
        throw std::runtime_error("missing: settings");
    slip.terms = terms_of(from["settings"]);
    return slip;
}

}  // namespace tideline::net
