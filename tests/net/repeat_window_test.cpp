// Repeats of a request with an idempotency key, by a sidecar that is held up between reading its
// clock and writing. The sidecar runs in a process of its own and is reached over loopback.
#include <atomic>
#include <csignal>

#include "net/sidecar.hpp"
#include "sidecar_fixture.hpp"

namespace tideline::net {
namespace {

// The longest hold-up between reading the clock and writing that the protocol allows for, in s.
constexpr double kHoldUp = 0.15;
constexpr double kRepeatWindow = 1;  // s for which endpoints recognise a repeat

std::atomic<bool> held_up = false;

// Holds the sidecar up between each decision to send an attempt and its write, from SIGUSR1 on.
class HoldUp : public ClusterObserver {
  public:
    bool accepts_revision(std::int64_t) override {
        return true;
    }
    void endpoint_list_applied(std::int64_t, EndpointListKind, const std::vector<EndpointInfo>&,
                               const std::vector<Address>&) override {}
    bool release_status_received(Build, Stage, Phase, double, Seconds) override {
        return true;
    }
    void attempted(const EndpointId&) override {
        if (held_up) {
            sleep_for(kHoldUp);
        }
    }
    void voted(Vote) override {}
    void build_marked() override {}
};

void run_held_up_sidecar(const std::string& config_path) {
    std::signal(SIGUSR1, [](int) { held_up = true; });
    Log log;
    EventLoop loop;
    HoldUp hold_up;
    Sidecar sidecar(loop, log, read_sidecar_config(config_path), &hold_up);
    for (;;) {
        loop.pass();
        log.flush();
    }
}

std::string keyed_request() {
    return pg::query("SELECT v FROM records WHERE k = '7f' /* id=" +
                     std::to_string(++statement_count) + ",c=issue,t=x,d=4000,k=5c */");
}

// Opens connections until each endpoint has one, and leaves all of them idle.
std::vector<TestConnection> idle_connections(SidecarFixture& sidecar) {
    std::vector<TestConnection> clients;
    std::vector<TestConnection> connections;
    for (FakeServer& endpoint : sidecar.endpoints) {
        // The sidecar chooses the endpoint, so several requests may go to another one.
        for (bool found = false; !found;) {
            clients.push_back(sidecar.client());
            clients.back().send(request("read", 5000));
            connections.push_back(sidecar.endpoint());
            REQUIRE(connections.back());
            found = connections.back().local_port() == endpoint.port;
        }
    }
    for (TestConnection& connection : connections) {
        REQUIRE(connection.read_message().first == 'Q');
        connection.send(success_response("1"));
    }
    for (TestConnection& client : clients) {
        REQUIRE(client.read_answer() == "1");
    }
    sleep_for(5 * kDuplicateAnswerQuietWindow);
    return connections;
}

// Returns the connection on which the next query arrives; null if none arrives in time.
TestConnection* next_queried(std::vector<TestConnection>& connections, double wait) {
    for (const double until = now() + wait; now() < until;) {
        for (TestConnection& connection : connections) {
            if (connection && connection.read_message(0.001).first == 'Q') {
                return &connection;
            }
        }
    }
    return nullptr;
}

void start_with_keyed_class(SidecarFixture& sidecar) {
    sidecar.config["settings"]["classes"].push_back({{"name", "issue"},
                                                     {"effect", "guarded"},
                                                     {"promiseUs", 800000},
                                                     {"deadlineUs", 4000000},
                                                     {"group", "all"},
                                                     {"windowUs", kRepeatWindow * 1e6},
                                                     {"gain", 1.0}});
    sidecar.start_connected(run_held_up_sidecar);
}

}  // namespace

// Guards against a second effect: a repeat that arrives after the time for which endpoints
// recognise it, because nothing was left for the time between the decision and the arrival.
TEST_CASE("a repeat that is held up before its write arrives within the repeat window") {
    SidecarFixture sidecar;
    start_with_keyed_class(sidecar);
    std::vector<TestConnection> connections = idle_connections(sidecar);
    const auto [broken_after, repeated] =
        GENERATE(table<double, bool>({{0.4, true}, {kRepeatWindow - 0.07, false}}));
    TestConnection client = sidecar.client();
    client.send(keyed_request());
    TestConnection* first = next_queried(connections, kDefaultTimeout);
    REQUIRE(first);
    const double arrived = now();
    sidecar.signal(SIGUSR1);
    sleep_for(arrived + broken_after - now());
    first->reset_on_close();
    first->close();
    TestConnection* second = next_queried(connections, 2 * kRepeatWindow);
    if (second) {
        CHECK(now() - arrived <= kRepeatWindow);
        second->send(success_response("2"));
    }
    CHECK((second != nullptr) == repeated);
    // A request that may have run and is not repeated fails: a rejection would say it had no
    // effect.
    CHECK(client.read_answer() == (repeated ? "2" : "!58000"));
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

}  // namespace tideline::net
