// Requests whose id comes again after their client has left. The program runs as a separate process
// and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {
namespace {

// Connections to endpoints, those that are opened meanwhile included.
class Endpoints {
  public:
    explicit Endpoints(SidecarFixture& sidecar) : sidecar_(sidecar) {}
    // Returns the connection on which the next query arrives; null if none arrives in time.
    TestConnection* next_queried(double wait) {
        for (const double until = now() + wait; now() < until;) {
            if (TestConnection opened = sidecar_.endpoint(0.005)) {
                connections_.push_back(std::make_unique<TestConnection>(std::move(opened)));
            }
            for (auto& connection : connections_) {
                if (connection->read_message(0.001).first == 'Q') {
                    return connection.get();
                }
            }
        }
        return nullptr;
    }

  private:
    SidecarFixture& sidecar_;
    std::vector<std::unique_ptr<TestConnection>> connections_;
};

enum class Return {
    while_attempt_runs,
    after_answer_to_nobody,
    after_broken_attempt,
    after_unread_answer,
    after_read_answer,
    beside_connected_client
};

// Brings the first request to the point at which its id comes again. Returns its client.
TestConnection leave(SidecarFixture& sidecar, Endpoints& endpoints, const std::string& query,
                     Return when) {
    TestConnection client = sidecar.client();
    client.send(query);
    TestConnection* endpoint = endpoints.next_queried(kDefaultTimeout);
    REQUIRE(endpoint);
    const bool leaves_first = when == Return::while_attempt_runs ||
                              when == Return::after_answer_to_nobody ||
                              when == Return::after_broken_attempt;
    if (leaves_first) {
        client.close();
        sleep_for(kSilenceWindow / 4);
    }
    if (when == Return::after_broken_attempt) {
        endpoint->reset_on_close();
        endpoint->close();
    } else if (when != Return::while_attempt_runs) {
        endpoint->send(success_response("1"));
    }
    if (when == Return::after_read_answer || when == Return::beside_connected_client) {
        CHECK(client.read_answer() == "1");
    }
    sleep_for(kSilenceWindow / 4);
    if (when != Return::beside_connected_client) {
        client.close();
    }
    sleep_for(kSilenceWindow / 4);
    return client;
}

}  // namespace

// Guards against a second effect: a client that has lost its connection sends its request once more
// with the same id, and the first attempt runs or has run.
TEST_CASE("a request whose id comes again after its client has left does not run twice") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    Endpoints endpoints(sidecar);
    const auto* request_class = GENERATE("read", "charge");
    const Return when = GENERATE(Return::while_attempt_runs, Return::after_answer_to_nobody,
                                 Return::after_broken_attempt, Return::after_unread_answer,
                                 Return::after_read_answer, Return::beside_connected_client);
    const std::string query = request(request_class);
    const TestConnection first = leave(sidecar, endpoints, query, when);
    for (int i = 0; i < 2; ++i) {
        TestConnection again = sidecar.client();
        again.send(query);
        CHECK(again.read_answer() == "!22023");
    }
    CHECK(endpoints.next_queried(kSilenceWindow) == nullptr);
    TestConnection other = sidecar.client();
    other.send(request());
    TestConnection* endpoint = endpoints.next_queried(kDefaultTimeout);
    REQUIRE(endpoint);
    endpoint->send(success_response("2"));
    CHECK(other.read_answer() == "2");
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

// Guards against the opposite: an id that stays taken although its request never ran.
TEST_CASE("a request whose id comes again is served if it has not run") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    const std::string query = request("charge");
    client.send(query);
    TestConnection connection = sidecar.endpoint(kDefaultTimeout, false);  // does not come up
    REQUIRE(connection);
    client.close();
    sleep_for(kSilenceWindow);
    connection.consume(1 << 20);
    connection.send(pg::welcome());
    CHECK(connection.read_message(kSilenceWindow / 2).first != 'Q');
    TestConnection again = sidecar.client();
    again.send(query);
    REQUIRE(connection.read_message().first == 'Q');
    connection.send(success_response("served"));
    CHECK(again.read_answer() == "served");
}

// Guards against requests that wait unread behind another one and are sent after the close.
TEST_CASE("of hundreds of requests none is sent once their client has closed") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    Endpoints endpoints(sidecar);
    const bool reset = GENERATE(false, true);
    const bool large = GENERATE(false, true);
    TestConnection client = sidecar.client();
    std::string queries;
    for (int i = 0; i < (large ? 5 : 500); ++i) {
        queries += large ? padded_request(30'000) : request();
    }
    client.send(queries);
    for (int i = 0; i < 3; ++i) {
        TestConnection* endpoint = endpoints.next_queried(kDefaultTimeout);
        REQUIRE(endpoint);
        if (i == 2 && reset) {
            client.reset_on_close();
        }
        if (i == 2) {
            client.close();
            sleep_for(0.1);
        }
        endpoint->send(success_response(std::to_string(i)));
    }
    CHECK(endpoints.next_queried(kSilenceWindow) == nullptr);
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

}  // namespace tideline::net
