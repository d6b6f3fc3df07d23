// Pooled connections to endpoints: which are reused, and which answers close them. The program runs
// as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {

TEST_CASE("an endpoint id that returns at another address gets no old connection") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection old = sidecar.queried_endpoint();
    old.send(success_response("old"));
    CHECK(client.read_answer() == "old");
    FakeServer other;
    sidecar.send_list_change(json::array({endpoint_line("s-0", other.port, "Ready", 41)}));
    CHECK(old.closed_by_peer());
    client.send(request());
    TestConnection fresh = other.accept_connection();
    REQUIRE(fresh);
    fresh.send(pg::welcome());
    fresh.receive_more();
    fresh.consume(static_cast<std::size_t>(pg::startup("svc", "main").size()));
    REQUIRE(fresh.read_message().first == 'Q');
    fresh.send(success_response("new"));
    CHECK(client.read_answer() == "new");
}

TEST_CASE("idle connections are closed before the configured idle timeout") {
    SidecarFixture sidecar(1);
    sidecar.config["settings"]["ceilings"]["keepaliveUs"] = 500000;
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("1"));
    REQUIRE(client.read_answer() == "1");
    CHECK(endpoint.stays_quiet(0.2));
    CHECK(endpoint.closed_by_peer(1));
}

TEST_CASE("bytes behind a complete answer are not taken for the next request's answer") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    const auto [surplus, later] =
        GENERATE(table<std::string, bool>({{success_response("1"), false},
                                           {success_response("1"), true},
                                           {"noise", false},
                                           {error_response("XX000"), true},
                                           {pg::message('N', "x"), false}}));
    endpoint.send(success_response("1") + (later ? "" : surplus));
    REQUIRE(client.read_answer() == "1");
    if (later) {
        endpoint.send(surplus);
    }
    CHECK(endpoint.closed_by_peer());
    client.send(request());
    TestConnection second = sidecar.queried_endpoint();
    second.send(success_response("2"));
    CHECK(client.read_answer() == "2");
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

TEST_CASE("bytes behind an answer are not taken for the answer of a waiting request") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection first = sidecar.client();
    TestConnection next = sidecar.client();
    first.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    next.send(request());
    TestConnection other =
        sidecar.endpoint(kDefaultTimeout, false);  // connects, but is not answered yet
    endpoint.send(success_response("first") + success_response("first"));
    CHECK(first.read_answer() == "first");
    other.consume(1 << 20);
    other.send(pg::welcome());
    if (other.read_message(0.5).first == 'Q') {
        other.send(success_response("next"));
    }
    CHECK_THAT(next.read_answer(), Catch::Equals("next") || Catch::StartsWith("!"));
}

TEST_CASE("a connection has a quiet time after an answer in which a duplicate answer ends it") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    const double answered = now();
    endpoint.send(success_response("1"));
    REQUIRE(client.read_answer() == "1");
    const bool second = GENERATE(false, true);
    if (second) {
        // The duplicate and the query have both arrived when the sidecar continues, however slow
        // the machine is.
        sidecar.signal(SIGSTOP);
    }
    client.send(request());
    if (second) {
        endpoint.send(success_response("1"));
        sidecar.signal(SIGCONT);
        CHECK(endpoint.closed_by_peer());
        // The connection is opened for the request that relied on the closed one.
        TestConnection fresh = sidecar.endpoint();
        REQUIRE(fresh.read_message().first == 'Q');
        fresh.send(success_response("2"));
    } else {
        REQUIRE(endpoint.read_message().first == 'Q');
        CHECK(now() - answered >= kDuplicateAnswerQuietWindow);
        endpoint.send(success_response("2"));
    }
    CHECK(client.read_answer() == "2");
}

// Guards against delivering the answer to one request as the answer to the next: the duplicate
// arrives after the quiet window, when the next query has been sent.
TEST_CASE("a duplicate answer behind the next query is not taken for its answer") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("1"));
    REQUIRE(client.read_answer() == "1");
    const bool succeeds = GENERATE(true, false);
    client.send(succeeds ? request() : request("charge"));
    REQUIRE(endpoint.read_message().first == 'Q');
    const std::string answer = succeeds ? success_response("2") : error_response("XX000");
    const double gap = GENERATE(0.0, 0.001, 0.02, 0.06);  // 0: both answers in one segment
    if (gap == 0) {
        endpoint.send(success_response("1") + answer);
    } else {
        endpoint.send(success_response("1"));
        sleep_for(gap);
        endpoint.send(answer);
    }
    CHECK(client.read_answer() == (succeeds ? "2" : "!58000"));
    CHECK(endpoint.closed_by_peer());
    if (succeeds) {
        client.send(request());
        TestConnection fresh = sidecar.queried_endpoint();
        fresh.send(success_response("3"));
        CHECK(client.read_answer() == "3");
    }
}

TEST_CASE("an answer that equals the one before it is delivered, and later not held any more") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("1"));
    REQUIRE(client.read_answer() == "1");
    for (int i = 0; i < 3; ++i) {
        client.send(request());
        REQUIRE(endpoint.read_message().first == 'Q');
        const double sent = now();
        endpoint.send(success_response("1"));
        CHECK(client.read_answer() == "1");
        const bool held = now() - sent >= kDuplicateAnswerHoldTimeout;
        CHECK((held == (i == 0) || now() - sent >= kDuplicateAnswerHoldTimeout));
    }
    CHECK_FALSE(endpoint.reset_by_peer(0));
}

// The kernel delays acknowledgements in the hope of sending them with data. An endpoint that delays
// small writes until the acknowledgement would then send its duplicate 40 ms later, after the quiet
// window.
TEST_CASE("a duplicate answer that waits for the acknowledgement comes in the quiet time") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    TestConnection next = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("0"));
    REQUIRE(client.read_answer() == "0");
    client.send(request());
    REQUIRE(endpoint.read_message().first == 'Q');
    endpoint.delay_small_writes();
    endpoint.send(success_response("1"));
    endpoint.send(success_response("1"));
    REQUIRE(client.read_answer() == "1");
    next.send(request());
    TestConnection fresh = sidecar.queried_endpoint();
    fresh.send(success_response("2"));
    CHECK(next.read_answer() == "2");
    CHECK(endpoint.closed_by_peer());
}

TEST_CASE("a malformed load report costs its connection, not the answer") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request("charge"));
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(pg::message('S', "vitals") + success_response("good"));
    CHECK(client.read_answer() == "good");
    CHECK(endpoint.closed_by_peer());
}

TEST_CASE("a malformed answer is detected by its first bytes and not forwarded") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request("charge"));
    TestConnection endpoint = sidecar.queried_endpoint();
    const std::string described = value_row("").substr(0, value_row("").find('D'));
    const std::string bytes =
        GENERATE_COPY(std::string("D"), std::string("!"), std::string("T\x7f\xff\xff\xff"),
                      described + "C", described + std::string("D\xb2\xd0\x5e\0", 5),
                      described + std::string("D\0\0\0\x0e\0\2", 7),
                      described + std::string("D\0\0\0\x0e\0\1\0\0\0\5", 11), value_row("1") + "Z",
                      pg::message('E', "no fields"), value_row("1") + pg::message('C', "no end"));
    endpoint.send(bytes);
    const double before = now();
    CHECK(client.read_answer() == "!58000");  // the statement may have run
    CHECK(now() - before < 1);
    CHECK(endpoint.closed_by_peer());
    CHECK_FALSE(sidecar.endpoint(0.1));
}

}  // namespace tideline::net
