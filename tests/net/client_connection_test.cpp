// Client connections: startup, malformed input, slow and idle clients, descriptor limits. The
// program runs as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {

TEST_CASE("malformed client input reaches no endpoint") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    SECTION("a malformed message ends the connection with an error") {
        const std::string bytes =
            GENERATE(std::string("\0\0\0\x8\0\2\0\0", 8), std::string("\x7f\0\0\0xxxx", 8),
                     pg::startup("svc", "main") + "Q\x7f\xff\xff\xff",
                     pg::startup("svc", "main") + pg::message('P', "x"),
                     pg::startup("svc", "main") + pg::message('Q', "no end"));
        TestConnection client = TestConnection::connect_to(sidecar.port);
        client.send(bytes);
        CHECK(client.closed_by_peer());
        bool error_received = false;
        while (const char type = client.read_message(0.1).first) {
            error_received = error_received || type == 'E';
        }
        CHECK(error_received);
    }
    SECTION("a query that is no request gets an error and ends its connection") {
        for (const char* text : {"SELECT 1", "SELECT v FROM records WHERE k = '1'",
                                 "SELECT v FROM records WHERE k = '1' /* id=1,c=unknown,d=5 */",
                                 "SELECT v FROM records WHERE k = '1' /* id=1,c=read,d=soon */",
                                 "SELECT v FROM records WHERE k = '1' /* id=1,c=read */"}) {
            TestConnection client = sidecar.client();
            client.send(pg::query(text) + request());
            CHECK_THAT(client.read_answer(), Catch::StartsWith("!42") || Catch::StartsWith("!22"));
            CHECK(client.closed_by_peer());
        }
    }
    SECTION("encryption is declined, a cancel request is closed without an answer") {
        TestConnection client = TestConnection::connect_to(sidecar.port);
        client.send(std::string("\0\0\0\x8\4\xd2\x16\x2f", 8));
        client.receive_more();
        CHECK(client.consume(9) == "N");
        client.send(pg::startup("svc", "main"));
        CHECK(client.read_answer().empty());
        TestConnection cancel = TestConnection::connect_to(sidecar.port);
        cancel.send(std::string("\0\0\0\x10\4\xd2\x16\x2e\0\0\0\1\0\0\0\1", 16));
        CHECK(cancel.closed_by_peer());
        CHECK(cancel.consume(9).empty());
    }
    CHECK_FALSE(sidecar.endpoint(0.1));
}

TEST_CASE("the empty query is answered only once there is an endpoint list") {
    SidecarFixture sidecar(1);
    sidecar.config["known"] = {{"revision", 41}, {"complete", true}, {"members", json::array()}};
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(pg::query(""));
    CHECK(client.stays_quiet());
    auto malformed = GENERATE(endpoint_line("s-7", 9, "Odd"), endpoint_line("s-7", 9, "Ready", -3),
                              json{{"id", 7}}, json("no entry"));
    sidecar.send_list_change(json::array({malformed, sidecar.members[0]}));
    CHECK(client.read_answer() ==
          "empty");  // valid entries are applied, the list is requested again
    TestConnection again = sidecar.discovery.accept_connection();
    CHECK(again.read_until("\r\n\r\n").find("since=41") != std::string::npos);
    again.send("noise for ever");
    CHECK(again.closed_by_peer(1));
}

TEST_CASE("a client's close is noticed while more of its messages are unread") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    std::string more;
    while (more.size() < 4 * kInitialBufferBytes) {
        more += request();
    }
    client.send(request() + more);
    // The attempt waits for this connection.
    TestConnection endpoint = sidecar.endpoint(kDefaultTimeout, false);
    endpoint.consume(1 << 20);
    const bool reset = GENERATE(false, true);
    if (reset) {
        client.reset_on_close();
    }
    client.close();
    const double before = sidecar.cpu_seconds();
    sleep_for(0.1);
    endpoint.send(pg::welcome());
    CHECK(endpoint.read_message(0.3).first != 'Q');
    CHECK(sidecar.cpu_seconds() - before < 0.2);
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

TEST_CASE("a statement may arrive slowly within its time limit but not stall") {
    SidecarFixture sidecar(1);
    sidecar.set_time_limits(8);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    TestConnection still = sidecar.client();
    const std::string query = request("read", 7000);
    const double begun = now();
    still.send(query.substr(0, 20));
    for (std::size_t i = 0, piece = query.size() / 4 + 1; i < query.size(); i += piece) {
        if (i > 0) {
            sleep_for(kPartialMessageTimeout / 2);
        }
        client.send(std::string_view(query).substr(i, piece));
    }
    CHECK(now() - begun > kPartialMessageTimeout);
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("slow"));
    CHECK(client.read_answer() == "slow");
    CHECK(still.closed_by_peer(0.5));
}

// Guards against the time of a message that counts from the message before it: one that is read in
// more than one pass then fails at once.
TEST_CASE("a large statement is served after its connection has rested") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(pg::query(""));
    REQUIRE(client.read_answer() == "empty");
    sleep_for(kPartialMessageTimeout + 0.5);
    const std::string query =
        padded_request(GENERATE(as<std::size_t>{}, 3'000, 5'000, 20'000, 150'000));
    client.send(std::string_view(query).substr(0, query.size() / 2));
    sleep_for(kSilenceWindow / 4);
    client.send(std::string_view(query).substr(query.size() / 2));
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("served"));
    CHECK(client.read_answer() == "served");
}

TEST_CASE(
    "without free descriptors idle connections are closed and requests are served without "
    "spinning") {
    SidecarFixture sidecar(1);
    sidecar.config["limits"]["sockets"] = 64;
    sidecar.start_connected();
    std::vector<TestConnection> idle;
    for (int i = 0; i < 60; ++i) {
        idle.push_back(TestConnection::connect_to(sidecar.port));
        idle.back().send(pg::startup("svc", "main"));
    }
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("served"));
    CHECK(client.read_answer() == "served");
    // None of these can be closed at once: they may still send a startup message.
    std::vector<TestConnection> silent_clients;
    for (int i = 0; i < 60; ++i) {
        silent_clients.push_back(TestConnection::connect_to(sidecar.port));
    }
    const double before = sidecar.cpu_seconds();
    sleep_for(1);
    CHECK(sidecar.cpu_seconds() - before < 0.3);
    silent_clients.clear();
    client.send(pg::query(""));
    TestConnection after = sidecar.client();
    after.send(pg::query(""));
    CHECK(after.read_answer() == "empty");
}

TEST_CASE("each misbehaving client is rejected soon while others are served") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    const std::string hello = pg::startup("svc", "main");
    const std::string bytes = GENERATE_COPY(
        std::string(), hello.substr(0, 9), std::string("GET / HTTP/1.1\r\n\r\n"), hello + "Q",
        hello + "Q\0\0", hello + std::string("Q\0\0\0\3", 5), hello + request().substr(0, 40),
        hello + pg::message('Q', std::string(80, 'x')), hello + "P",
        hello + std::string("Q\3\x93\x87\0", 5) + std::string(4 << 20, 'x'),
        std::string("\0\0\0\x8\4\xd2\x16\x2f\0\0\0\x8\4\xd2\x16\x2f\0\0\0\x8\4\xd2\x16\x2f", 24));
    TestConnection bad = TestConnection::connect_to(sidecar.port);
    bad.send(bytes);
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("1"));
    CHECK(client.read_answer() == "1");
    CHECK(bad.closed_by_peer(2.9));
    client.send(pg::query(""));
    CHECK(client.read_answer() == "empty");
}

TEST_CASE("a request with the id of an open request is rejected") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    TestConnection bad = sidecar.client();
    const std::string query = request();
    client.send(query);
    TestConnection endpoint = sidecar.queried_endpoint();
    bad.send(query);
    CHECK(bad.read_answer() == "!22023");
    endpoint.send(success_response("1"));
    CHECK(client.read_answer() == "1");
    client.send(query);  // the first request was answered, so its id is free
    REQUIRE(endpoint.read_message().first == 'Q');
}

TEST_CASE("hundreds of queued queries are answered in order") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    std::string flood;
    for (int i = 0; i < 5000; ++i) {
        flood += pg::query(i % 10 == 9 ? " " : "");
    }
    client.send(flood + request());
    for (int i = 0; i < 5000; ++i) {
        REQUIRE(client.read_answer() == "empty");
    }
    TestConnection endpoint = sidecar.queried_endpoint();
}

TEST_CASE(
    "hundreds of silent clients or of partial statements of the largest size keep no client out") {
    SidecarFixture sidecar(1);
    sidecar.config["limits"]["sockets"] = 128;
    sidecar.start_connected();
    const bool silent = GENERATE(true, false);
    const std::string half =
        pg::startup("svc", "main") + std::string("Q\0\2\x70\0", 5) + std::string(150000, ' ');
    std::vector<TestConnection> bad;
    for (int i = 0; i < 300; ++i) {
        bad.push_back(TestConnection::connect_to(sidecar.port));
        if (!silent && i < 80) {
            bad.back().send(half);
        }
    }
    const double before = now();
    TestConnection client = sidecar.client();
    // The client is served before the silent ones reach their timeout.
    CHECK(now() - before < kStartupMessageTimeout / 2);
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("1"));
    CHECK(client.read_answer() == "1");
#ifndef __SANITIZE_ADDRESS__
    CHECK(sidecar.peak_memory_mb() < 16);
#endif
}

TEST_CASE("idle clients are closed beyond an eighth of the descriptors, the longest idle first") {
    SidecarFixture sidecar(1);
    sidecar.config["limits"]["sockets"] = 128;
    sidecar.start_connected();
    std::vector<TestConnection> held;
    for (int i = 0; i < 30; ++i) {
        held.push_back(sidecar.client());
        held.back().send(pg::query(""));
        REQUIRE(held.back().read_answer() == "empty");
    }
    CHECK(held.front().closed_by_peer(2));  // closed although descriptors are left
    int left = 0;
    for (TestConnection& each : held) {
        left += !each.closed_by_peer(0.05);
    }
    CHECK(left == 128 / kIdleClientDescriptorDivisor);
    held.back().send(pg::query(""));
    CHECK(held.back().read_answer() == "empty");
}

}  // namespace tideline::net
