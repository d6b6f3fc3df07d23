// The endpoint list: orders of messages and malformed entries that could bring an endpoint back or
// lose one.
#include "net/endpoint_list.hpp"

#include <catch2/catch.hpp>

#include "net/limits.hpp"

namespace tideline::net {
namespace {

using nlohmann::json;

const Settings kSettings = {{"locations.0", std::string("a")}, {"locations.1", std::string("b")}};

json entry(const std::string& id, const char* phase = "Ready", double up_since_ms = 0,
           int build = 7) {
    return {{"id", id},  {"host_port", "10.1.0.18:5432"}, {"locality", "b"},     {"phase", phase},
            {"cell", 3}, {"up_since_ms", up_since_ms},    {"revision_no", build}};
}
json list(int revision, bool complete, const std::vector<json>& members) {
    return {{"revision", revision}, {"complete", complete}, {"members", members}};
}
// The state of each endpoint after all these lists.
std::map<std::string, EndpointState> states(EndpointList& endpoint_list,
                                            const std::vector<json>& lists) {
    std::map<std::string, EndpointState> states_by_id;
    for (const json& each : lists) {
        const EndpointListUpdate update = endpoint_list.read(each, false);
        if (update.kind != EndpointListKind::changes) {
            for (auto& [endpoint, state] : states_by_id) {
                state = EndpointState::removed;
            }
        }
        for (const EndpointInfo& endpoint : update.endpoints) {
            states_by_id[endpoint.id.value] = endpoint.state;
        }
    }
    return states_by_id;
}

}  // namespace

TEST_CASE("an entry is read completely") {
    EndpointList endpoint_list(kSettings);
    const auto update =
        endpoint_list.read(list(41, true, {entry("s-1", "Terminating", 1500)}), false);
    REQUIRE(update.endpoints.size() == 1);
    CHECK(update.kind == EndpointListKind::complete);
    CHECK(update.endpoints[0].state == EndpointState::draining);
    CHECK(update.endpoints[0].location.value == 1);
    CHECK(update.endpoints[0].cell.value == 3);
    CHECK(update.endpoints[0].build.value == 7);
    CHECK(update.endpoints[0].started == Approx(1.5));
    CHECK(text_of(update.addresses[0]) == "10.1.0.18:5432");
    CHECK(endpoint_list.revision() == 41);
    CHECK_FALSE(endpoint_list.read(json::array(), false).is_list);
    CHECK_FALSE(endpoint_list.read({{"members", 7}}, false).is_list);
}

TEST_CASE("a lagging list brings back no endpoint that drains or is gone") {
    const bool complete = GENERATE(false, true);
    const char* ended = GENERATE("Terminating", "Gone");
    EndpointList endpoint_list(kSettings);
    auto states_by_id = states(endpoint_list, {list(41, true, {entry("s-1"), entry("s-2")}),
                                               list(45, false, {entry("s-1", ended)}),
                                               list(43, complete, {entry("s-1"), entry("s-2")})});
    CHECK(states_by_id["s-1"] != EndpointState::ready);
    CHECK(states_by_id["s-2"] == EndpointState::ready);
    // The watch continues from the revision of the lagging list, but that list is still not trusted
    // over newer ones.
    CHECK(endpoint_list.revision() == 43);
    CHECK(states(endpoint_list, {list(44, false, {entry("s-1")})})["s-1"] != EndpointState::ready);
    CHECK(states(endpoint_list, {list(44, false, {entry("s-1", "Ready", 99000)})})["s-1"] ==
          EndpointState::ready);
    CHECK(states(endpoint_list, {list(46, false, {entry("s-1")})})["s-1"] == EndpointState::ready);
}

TEST_CASE("an older complete list removes the endpoints that it leaves out, an empty one all") {
    EndpointList endpoint_list(kSettings);
    auto states_by_id = states(endpoint_list, {list(41, true, {entry("s-1"), entry("s-2")}),
                                               list(40, true, {entry("s-1")})});
    CHECK(states_by_id["s-1"] == EndpointState::ready);
    CHECK(states_by_id["s-2"] == EndpointState::removed);
    CHECK(states(endpoint_list, {list(42, true, {entry("s-1")}), list(43, true, {})})["s-1"] ==
          EndpointState::removed);
}

TEST_CASE("a malformed entry leaves its endpoint unchanged, but for a phase that ends it") {
    const bool complete = GENERATE(false, true);
    json malformed_entry = entry("s-1");
    const auto defect = GENERATE(0, 1, 2, 3, 4);
    if (defect == 0) {
        malformed_entry["phase"] = "Odd";
    }
    if (defect == 1) {
        malformed_entry["host_port"] = "nowhere";
    }
    if (defect == 2) {
        malformed_entry["size"] = -1;
    }
    if (defect == 3) {
        malformed_entry["revision_no"] = 1e300;
    }
    if (defect == 4) {
        malformed_entry["up_since_ms"] = "soon";
    }
    EndpointList endpoint_list(kSettings);
    endpoint_list.read(list(41, true, {entry("s-1"), entry("s-2")}), false);
    const json malformed_list =
        list(42, complete, {malformed_entry, entry("s-2"), json("no entry"), json{{"id", ""}}});
    const auto update = endpoint_list.read(malformed_list, false);
    CHECK_FALSE(update.accepted);
    CHECK(endpoint_list.revision() == 41);  // requested again from this revision
    REQUIRE(update.endpoints.size() == 2);
    CHECK(update.endpoints[0].state == EndpointState::ready);
    CHECK(update.endpoints[0].build.value == 7);
    CHECK(text_of(update.addresses[0]) == "10.1.0.18:5432");
    // The same malformed list is accepted the second time: a further request would not help.
    CHECK(endpoint_list.read(malformed_list, false).accepted);
    CHECK(endpoint_list.revision() == 42);
    if (defect == 0) {
        return;
    }
    malformed_entry["phase"] = "Terminating";
    CHECK(states(endpoint_list, {list(43, complete, {malformed_entry, entry("s-2")})})["s-1"] ==
          EndpointState::draining);
}

TEST_CASE("an endpoint whose phase stays unreadable drains until it can be read") {
    EndpointList endpoint_list(kSettings);
    endpoint_list.read(list(41, true, {entry("s-1"), entry("s-2")}), false);
    const json unknown_phase_list = list(42, false, {entry("s-1", "Cordoned")});
    CHECK(states(endpoint_list, {unknown_phase_list})["s-1"] ==
          EndpointState::ready);  // requested again first
    auto states_by_id = states(endpoint_list, {unknown_phase_list});
    CHECK(states_by_id["s-1"] == EndpointState::draining);
    CHECK_FALSE(states_by_id.contains("s-2"));
    CHECK(states(endpoint_list, {list(43, false, {entry("s-1")})})["s-1"] == EndpointState::ready);
}

TEST_CASE("gone endpoints are remembered up to a bound") {
    EndpointList endpoint_list(kSettings);
    for (int i = 0; i < 3 * static_cast<int>(kMaxRememberedGoneEndpoints); ++i) {
        endpoint_list.read(
            list(100 + i, false, {entry("s-" + std::to_string(i), i % 2 ? "Gone" : "Ready")}),
            false);
    }
    const std::string last = "s-" + std::to_string(3 * kMaxRememberedGoneEndpoints - 1);
    CHECK(states(endpoint_list, {list(50, false, {entry(last)})})[last] == EndpointState::removed);
    CHECK(states(endpoint_list, {list(50, false, {entry("s-1")})})["s-1"] ==
          EndpointState::ready);  // the removed endpoint has been forgotten
}

}  // namespace tideline::net
