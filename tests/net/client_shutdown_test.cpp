// Clients that are in the middle of a message while the sidecar shuts down. The program runs as a
// separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {
namespace {

// s from SIGTERM: from this time on the shutdown closes clients that have stalled.
constexpr double kStalledClientsClose = kShutdownOverlapDuration + kStalledClientTimeout + 0.1;
// s: several times the interval at which a shutdown looks for connections to close.
constexpr double kSeveralShutdownChecks = 0.2;
// ms: no request of these tests ends before its client has sent all of it.
constexpr int kLongBudget = 5000;

// Serves the request of the client, which is sent whole by now.
void serve(SidecarFixture& sidecar, TestConnection& client, TestConnection& endpoint) {
    if (!endpoint) {
        endpoint = sidecar.endpoint();
    }
    REQUIRE(endpoint);
    REQUIRE(endpoint.read_message().first == 'Q');
    endpoint.send(success_response("served"));
    CHECK(client.read_answer() == "served");
}

}  // namespace

// Guards against a request that is read in part when its connection is ended, and whose rest is
// then read and dropped: its client learns neither of an answer nor that it was not read.
TEST_CASE("SIGTERM: a request that follows an answer at once is served, however late") {
    SidecarFixture sidecar(1);
    sidecar.set_time_limits(kLongBudget * 1e-3);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request("read", kLongBudget));
    TestConnection endpoint = sidecar.queried_endpoint();
    sidecar.signal(SIGTERM);
    sleep_for(kStalledClientsClose);
    const std::string next =
        GENERATE(request("read", kLongBudget), padded_request(20'000, kLongBudget),
                 padded_request(60'000, kLongBudget), padded_request(150'000, kLongBudget));
    const std::size_t first_part = GENERATE_COPY(std::size_t{1}, next.size() / 2, next.size() - 1);
    client.send(std::string_view(next).substr(0, first_part));
    endpoint.send(success_response("first"));
    CHECK(client.read_answer() == "first");
    sleep_for(kSeveralShutdownChecks);
    client.send(std::string_view(next).substr(first_part));
    serve(sidecar, client, endpoint);
    CHECK(client.closed_by_peer());
    CHECK(sidecar.wait_for_exit() == 0);
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

// Guards against a connection that is ended while its client sends: the time for a pause begins
// with the last byte, not with the signal.
TEST_CASE("SIGTERM: a client that sends slowly is served, its startup message included") {
    SidecarFixture sidecar(1);
    sidecar.set_time_limits(kLongBudget * 1e-3);
    sidecar.start_connected();
    const bool started = GENERATE(true, false);
    TestConnection client = started ? sidecar.client() : TestConnection::connect_to(sidecar.port);
    const std::string query = request("read", kLongBudget);
    const std::string bytes = started ? query : pg::startup("svc", "main") + query;
    const std::size_t piece = bytes.size() / 3 + 1;
    client.send(std::string_view(bytes).substr(0, piece));
    sidecar.signal(SIGTERM);
    sleep_for(kStalledClientTimeout * 0.8);
    client.send(std::string_view(bytes).substr(piece, piece));
    sleep_for(kStalledClientTimeout * 0.8);
    client.send(std::string_view(bytes).substr(2 * piece));
    if (!started) {
        REQUIRE(client.read_answer().empty());
    }
    TestConnection endpoint;
    serve(sidecar, client, endpoint);
    CHECK(sidecar.wait_for_exit() == 0);
}

// Guards against a request that is taken late in a shutdown, for longer than the process may run:
// SIGKILL would find it unanswered.
TEST_CASE("SIGTERM: a request that is taken late is answered before the earliest SIGKILL") {
    SidecarFixture sidecar(1);
    sidecar.set_time_limits(kLongBudget * 1e-3);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    sidecar.signal(SIGTERM);
    const double signalled_at = now();
    const double earliest_kill = signalled_at + kMaxTimeLimitAtShutdown + kExtraTimeAtShutdown;
    const std::string query = request("read", kLongBudget);
    std::size_t sent = 0;
    while (now() < signalled_at + kMaxTimeLimitAtShutdown) {
        client.send(std::string_view(query).substr(sent++, 1));
        sleep_for(kStalledClientTimeout / 2);
    }
    client.send(std::string_view(query).substr(sent));
    TestConnection endpoint = sidecar.queried_endpoint();  // never answers
    CHECK(client.read_answer().starts_with("!"));
    CHECK(now() < earliest_kill);
    CHECK(sidecar.wait_for_exit(earliest_kill - now()) == 0);
}

// Guards against input that is read and dropped after the sidecar has ended a connection.
TEST_CASE("SIGTERM: a client that has stalled is told that trying again does no harm") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    const std::string query = GENERATE(request(), padded_request(60'000));
    TestConnection client = sidecar.client();
    client.send(std::string_view(query).substr(0, query.size() / 2));
    sidecar.signal(SIGTERM);
    CHECK(client.read_answer() == "!57P03");
    CHECK(client.closed_by_peer());
    client.send(std::string_view(query).substr(query.size() / 2));
    CHECK(client.reset_by_peer(kClientLingerTimeout));
    CHECK_FALSE(sidecar.endpoint(0.01));
    CHECK(sidecar.wait_for_exit() == 0);
}

// Guards against the same drop where the client ends the session itself and sends on.
TEST_CASE("what a client sends after its Terminate is reset, not read and dropped") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(pg::message('X', ""));
    CHECK(client.closed_by_peer());
    client.send(request());
    CHECK(client.reset_by_peer(2 * kClientLingerTimeout));
    CHECK_FALSE(sidecar.endpoint(0.01));
}

}  // namespace tideline::net
