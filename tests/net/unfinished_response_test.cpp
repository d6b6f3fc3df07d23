// Responses of endpoints that never end, although their answer is complete. The program runs as a
// separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {
namespace {

// A complete answer with this value, and the first half of the ReadyForQuery that ends the
// response.
std::string unfinished_response(const std::string& value) {
    const std::string whole = success_response(value);
    return whole.substr(0, whole.size() - pg::ready().size() / 2);
}

// The value of a counter in the latest report of the log; -1 if there is none.
int counter(const std::string& log, const std::string& name) {
    const auto at = log.rfind(" " + name + "=");
    return at == std::string::npos ? -1 : std::stoi(log.substr(at + name.size() + 2));
}

}  // namespace

// Guards against a connection that waits for the end of a response without any time limit.
TEST_CASE("a connection whose response does not end is closed by the stop time of its attempt") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    const int budget_ms = 800;
    const double sent = now();
    client.send(request("charge", budget_ms));
    TestConnection endpoint = sidecar.queried_endpoint();
    const auto [response, answer] = GENERATE(table<std::string, std::string>(
        {{unfinished_response("1"), "1"},
         {pg::message('S', "vitals") + unfinished_response("1"), "1"},
         {pg::error("ERROR", "XX000", "no"), "!58000"},
         {pg::error("ERROR", "XX000", "no") + pg::ready().substr(0, 1), "!58000"}}));
    endpoint.send(response);
    CHECK(client.read_answer() == answer);
    const double answered = now() - sent;
    CHECK(endpoint.closed_by_peer(2));
    const double closed = now() - sent;
    // The answer does not wait for the end of the response, which may still arrive late.
    CHECK(answered < closed);
    CHECK(closed >= budget_ms * 1e-3 / 2);
    client.send(request("charge"));
    TestConnection fresh = sidecar.queried_endpoint();
    fresh.send(success_response("2"));
    CHECK(client.read_answer() == "2");
}

TEST_CASE("a connection whose response ends late is used again") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(unfinished_response("1"));
    REQUIRE(client.read_answer() == "1");
    sleep_for(5 * kDuplicateAnswerQuietWindow);
    endpoint.send(pg::ready().substr(pg::ready().size() / 2));
    sleep_for(5 * kDuplicateAnswerQuietWindow);
    client.send(request());
    REQUIRE(endpoint.read_message().first == 'Q');
    endpoint.send(success_response("2"));
    CHECK(client.read_answer() == "2");
}

// Guards against a sidecar that accepts no client any more, because connections that wait for the
// end of a response hold all descriptors.
TEST_CASE("responses that do not end keep no client out") {
    SidecarFixture sidecar(1);
    constexpr int kDescriptors = 64;
    // With the client, discovery and the platform, these take up all that clients may use.
    constexpr int kUnfinished =
        kDescriptors - kDescriptors / kEndpointDescriptorDivisor - kReservedDescriptors + 1;
    sidecar.config["limits"]["sockets"] = kDescriptors;
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    std::vector<TestConnection> endpoints;
    const int budget_ms = 60000;  // no attempt reaches its stop time during this test
    for (int i = 0; i < kUnfinished; ++i) {
        client.send(request("read", budget_ms));
        endpoints.push_back(sidecar.queried_endpoint());
        endpoints.back().send(unfinished_response(std::to_string(i)));
        REQUIRE(client.read_answer() == std::to_string(i));
    }
    TestConnection other = sidecar.client();
    other.send(request("read", budget_ms));
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("other"));
    CHECK(other.read_answer() == "other");
    // Those that have waited longest make room.
    CHECK(endpoints.front().closed_by_peer());
    CHECK_FALSE(endpoints.back().closed_by_peer(kSilenceWindow));
    sidecar.signal(SIGTERM);
    client.close();
    other.close();
    REQUIRE(sidecar.wait_for_exit() == 0);
    CHECK(counter(sidecar.log(), "endpoint_connections_unfinished_closed") >= 1);
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

}  // namespace tideline::net
