// Requests from client to endpoint and back: how each attempt ends, and what the client is
// answered. The program runs as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {

TEST_CASE("a request is served with its statement unchanged but for the remaining time") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = TestConnection::connect_to(sidecar.port);
    const std::string text = statement();
    const std::string bytes = pg::startup("svc", "main") + pg::query(text);
    const bool in_pieces = GENERATE(false, true);
    for (std::size_t i = 0; i < bytes.size(); i += in_pieces ? 7 : bytes.size()) {
        client.send(std::string_view(bytes).substr(i, in_pieces ? 7 : bytes.size()));
        if (in_pieces) {
            sleep_for(0.001);
        }
    }
    REQUIRE(client.read_answer().empty());
    TestConnection endpoint = sidecar.endpoint();
    const auto [type, body] = endpoint.read_message();
    REQUIRE(type == 'Q');
    const auto at = text.find(",d=") + 3;
    CHECK(body.substr(0, at) == text.substr(0, at));
    const int left = std::stoi(body.substr(at));
    CHECK((left > 500 && left < 1500));
    // The second size was seen from real endpoints.
    const std::string value(GENERATE(65536u, 375794u), 'v');
    const std::string answer = success_response(value);
    for (std::size_t i = 0; i < answer.size(); i += 9999) {
        endpoint.send(std::string_view(answer).substr(i, 9999));
    }
    CHECK(client.read_answer() == value);
    // Pipelined queries are answered in order, one at a time.
    client.send(request() + request() + pg::query(""));
    for (const char* each : {"1", "2"}) {
        REQUIRE(endpoint.read_message().first == 'Q');
        CHECK(endpoint.stays_quiet(0.05));
        endpoint.send(success_response(each));
    }
    CHECK(client.read_answer() == "1");
    CHECK(client.read_answer() == "2");
    CHECK(client.read_answer() == "empty");
}

TEST_CASE("each way in which an attempt ends shows whether it may have run") {
    SidecarFixture sidecar;
    const bool never = GENERATE(true, false);
    std::function<void(TestConnection&)> way;
    if (never) {
        way = GENERATE(
            as<std::function<void(TestConnection&)>>{}, [](TestConnection& p) { p.close(); },
            [](TestConnection& p) { p.send(pg::error("FATAL", "53300", "too many connections")); },
            [](TestConnection& p) {
                sleep_for(0.6);
                p.close();
            },  // the connection is never established
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(error_response("53300"));
            });
    } else {
        way = GENERATE(
            as<std::function<void(TestConnection&)>>{},
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(error_response("XX000"));
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.close();
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.closed_by_peer();
            },  // no answer within the time limit
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send("?\0\0\0\4");
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(std::string("D\x7f\0\0\0", 5));
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(pg::ready());
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(pg::message('C', "x"));
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(value_row("1") + value_row("2") +
                       pg::message('C', std::string("SELECT 2\0", 9)) + pg::ready());
            },
            [](TestConnection& p) {
                p.send(pg::welcome());
                p.read_message();
                p.send(value_row(std::string(65537, 'x')));
            });
    }
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request("charge"));
    TestConnection first = sidecar.endpoint(kDefaultTimeout, false);
    first.consume(1 << 20);
    way(first);
    // The request is sent to another endpoint, or rejected as safe to retry.
    if (never) {
        if (TestConnection second = sidecar.endpoint(1);
            second && second.read_message().first == 'Q') {
            second.send(success_response("yes"));
        }
        CHECK_THAT(client.read_answer(), Catch::Equals("yes") || Catch::Equals("!53300"));
    } else {
        CHECK(client.read_answer() == "!58000");
        CHECK_FALSE(sidecar.endpoint(0.2));
    }
}

TEST_CASE("a request that no endpoint may take is rejected with a retry time") {
    SidecarFixture sidecar(1);
    sidecar.members[0]["phase"] = "Terminating";
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    const auto [type, body] = client.read_message();
    REQUIRE(type == 'E');
    CHECK(pg::error_field(body, 'C') == "53300");
    CHECK(std::stoi(std::string(pg::error_field(body, 'D'))) >= 1);
}

TEST_CASE("a request that waits for a connection is not sent to an endpoint that began to drain") {
    SidecarFixture sidecar;
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection first = sidecar.endpoint(kDefaultTimeout, false);
    first.consume(1 << 20);
    for (auto& each : sidecar.members) {
        each["phase"] = "Terminating";
    }
    sidecar.send_list_change(sidecar.members);
    // It is rejected at once, not when the connection is established or the time limit is reached.
    CHECK(client.read_answer(0.3) == "!53300");
    first.send(pg::welcome());
    CHECK(first.read_message(0.2).first != 'Q');
}

TEST_CASE("a request that waits for a connection is not sent once its build's cap has fallen") {
    SidecarFixture sidecar;
    for (auto& each : sidecar.members) {
        each["revision_no"] = 42;
    }
    sidecar.config["deployer"]["news"] = release_state("canary", 42, 1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection first = sidecar.endpoint(kDefaultTimeout, false);
    first.consume(1 << 20);
    sidecar.announce_stage(release_state("reverting", 42, 0));
    sleep_for(0.1);
    first.send(pg::welcome());
    CHECK(client.read_answer() == "!53300");
    CHECK(first.read_message(0.2).first != 'Q');
}

TEST_CASE("a statement that an endpoint rejects is answered and not retried") {
    SidecarFixture sidecar;
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(error_response("22P02"));
    CHECK_THAT(client.read_answer(), Catch::StartsWith("!"));
    CHECK_FALSE(sidecar.endpoint(0.2));
    CHECK(endpoint.stays_quiet(0.1));
}

TEST_CASE("the answer for a client that disconnected does not reach the next client") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection gone = sidecar.client();
    gone.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    gone.close();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection second = sidecar.endpoint();  // the first connection is still in use
    REQUIRE(second.read_message().first == 'Q');
    endpoint.send(success_response("for the one that went"));
    second.send(success_response("mine"));
    CHECK(client.read_answer() == "mine");
}

}  // namespace tideline::net
