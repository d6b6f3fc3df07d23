// What a sidecar may still send when its endpoint list can't be confirmed. Guards against requests
// sent to an address that now belongs to another service: an overloaded discovery rejects every
// call while endpoints leave and their addresses are reused. The program runs as a separate
// process; discovery is a fake that rejects every call.
#include "sidecar_fixture.hpp"

namespace tideline::net {
namespace {

// A change counts as notified after this time, whether or not it was read.
constexpr Seconds kNotifiedWithin = 6;
constexpr Seconds kDrainGrace = 0.5;  // s: the drain grace in the fixture's settings

// Rejects all calls to discovery until then.
void reject_calls(SidecarFixture& sidecar, double until) {
    while (now() < until) {
        if (TestConnection call =
                sidecar.discovery.accept_connection(std::max(0.0, std::min(0.05, until - now())))) {
            call.read_until("\r\n\r\n");
            call.send(http_response(503, "busy"));
        }
    }
}
// Sends a request that the endpoint answers on a new connection.
std::string serve_on_new_connection(SidecarFixture& sidecar, TestConnection& client) {
    client.send(request());
    TestConnection endpoint = sidecar.endpoint();
    if (endpoint.read_message().first != 'Q') {
        return "no statement";
    }
    endpoint.send(success_response("1"));
    return client.read_answer();
}

// Checks that a request is rejected as not executed and is sent to no endpoint.
void check_refused_unsent(SidecarFixture& sidecar, TestConnection& client) {
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    CHECK_FALSE(sidecar.endpoint(kSilenceWindow));
}

}  // namespace

TEST_CASE("an unconfirmed list is not used once a change would count as notified") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    sidecar.watch.send(chunk("\n"));  // heartbeat: nothing has changed
    sleep_for(0.1);
    sidecar.watch.close();
    const double lost = now();
    reject_calls(sidecar, lost + 3);
    CHECK(serve_on_new_connection(sidecar, client) == "1");  // no change can count as notified yet
    reject_calls(sidecar, lost + kNotifiedWithin + kDrainGrace);
    // The listed endpoint may have left meanwhile, and another service may use its address.
    check_refused_unsent(sidecar, client);
}

TEST_CASE("the list in the configuration is not used before it is confirmed") {
    SidecarFixture sidecar(1);
    sidecar.start();
    const double started = now();
    TestConnection client = sidecar.client();
    client.send(request());  // waits a limited time for the list
    reject_calls(sidecar, started + 1);
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    // The empty query is not answered yet, so that clients can choose another sidecar.
    client.send(pg::query(""));
    reject_calls(sidecar, started + kReadyTimeout - 0.5);
    CHECK(client.stays_quiet(0.01));
    reject_calls(sidecar, started + kReadyTimeout + 0.3);
    CHECK(client.read_answer() == "empty");  // answered after the timeout all the same
    check_refused_unsent(sidecar, client);
    TestConnection watch = sidecar.discovery.accept_connection();
    watch.read_until("\r\n\r\n");
    // An overloaded discovery accepts a call before it handles it.
    watch.send(kStreamHead + chunk("\n"));
    sleep_for(0.5);
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    watch.send(chunk("{\"revision\":41,\"complete\":false,\"members\":[]}\n"));
    sleep_for(0.1);
    CHECK(serve_on_new_connection(sidecar, client) == "1");
}

TEST_CASE(
    "an accepted watch that ends at once confirms nothing and does not replace the older one") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    FakeServer new_discovery;
    sidecar.configure_discovery_at(new_discovery);
    sidecar.signal(SIGHUP);
    TestConnection watch = sidecar.accepted_watch(new_discovery);
    watch.send(chunk("\n"));
    watch.close();
    CHECK_FALSE(sidecar.watch.closed_by_peer(0.1));
    json leaving = sidecar.members;
    leaving[0]["phase"] = "Terminating";
    sidecar.send_list_change(leaving);  // the old watch still sends changes
    sleep_for(0.1);
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
}

TEST_CASE("requests that arrive before the first list are sent once it is there") {
    SidecarFixture sidecar(1);
    sidecar.start();
    sidecar.watch = sidecar.discovery.accept_connection();
    sidecar.watch.read_until("\r\n\r\n");
    TestConnection client = sidecar.client();
    client.send(request());
    sleep_for(0.1);
    sidecar.watch.send(kStreamHead);
    sidecar.send_list_change(json::array(), 41);
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("1"));
    CHECK(client.read_answer() == "1");
}

TEST_CASE("an endpoint that still answers gets no new requests once the list has expired") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    endpoint.send(success_response("0"));
    CHECK(client.read_answer() == "0");
    sidecar.watch.send(chunk("\n"));
    sleep_for(0.1);
    sidecar.watch.close();
    const double lost = now();
    int answered = 0;
    while (now() < lost + kNotifiedWithin + kDrainGrace) {
        reject_calls(sidecar, now() + 0.3);
        client.send(request());
        if (client.stays_quiet(0.05)) {
            if (endpoint.read_message().first != 'Q') {
                break;
            }
            endpoint.send(success_response("1"));
        }
        answered += client.read_answer() == "1";
    }
    CHECK(answered >= 10);
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    CHECK(endpoint.stays_quiet(0.1));
}

TEST_CASE("a heartbeat read after a suspension confirms the list only as of when it was written") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    sidecar.watch.send(chunk("\n"));
    sleep_for(0.1);
    sidecar.signal(SIGSTOP);
    sidecar.watch.send(chunk("\n"));  // after this the watch is silent
    const double written = now();
    sleep_for(4);
    sidecar.signal(SIGCONT);
    reject_calls(sidecar, written + kNotifiedWithin - 1);
    CHECK(serve_on_new_connection(sidecar, client) == "1");
    reject_calls(sidecar, written + kNotifiedWithin + kDrainGrace);
    check_refused_unsent(sidecar, client);
}

TEST_CASE("an accepted call without changes confirms the list as of its acceptance") {
    SidecarFixture sidecar(1);
    sidecar.start();
    TestConnection client = sidecar.client();
    TestConnection watch = sidecar.accepted_watch(sidecar.discovery);
    const double accepted = now();
    sleep_for(kAcceptedCallSettleDelay + 0.2);
    CHECK(serve_on_new_connection(sidecar, client) == "1");
    watch.close();
    reject_calls(sidecar, accepted + kNotifiedWithin + kDrainGrace);
    check_refused_unsent(sidecar, client);
}

TEST_CASE("a change that arrives only in part counts as notified") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    sidecar.watch.send(chunk("\n"));
    sleep_for(0.1);
    sidecar.watch.send(chunk("{\"revision\":43,\"complete\":false,\"members\":["));
    sleep_for(0.1);
    CHECK(serve_on_new_connection(sidecar, client) == "1");
    sleep_for(kDrainGrace);
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    sidecar.watch.send(chunk("]}\n"));
    sleep_for(0.1);
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) != "!53300");
}

TEST_CASE("malformed changes do not renew the age of the list") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    json malformed = sidecar.members;
    const double begun = now();
    for (int i = 0; now() < begun + kDrainGrace + 0.5; ++i) {
        malformed[0]["phase"] = "Odd-" + std::to_string(i);
        sidecar.send_list_change(malformed, 43);
        sidecar.watch = sidecar.accepted_watch(sidecar.discovery);
    }
    malformed[0]["phase"] = "Odd";
    sidecar.send_list_change(malformed, 43);
    sleep_for(0.05);
    check_refused_unsent(sidecar, client);
}

TEST_CASE(
    "SIGHUP: heartbeats of the old address confirm nothing while the new one does not answer") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    FakeServer new_discovery;
    sidecar.configure_discovery_at(new_discovery);
    sidecar.watch.send(chunk("\n"));
    sleep_for(0.1);
    sidecar.signal(SIGHUP);
    const double moved = now();
    constexpr double kAfterMove = 4;  // s: as given by the protocol
    while (now() < moved + kAfterMove + kDrainGrace) {
        sidecar.watch.send(chunk("\n"));
        if (TestConnection call = new_discovery.accept_connection(0.2)) {
            call.send(http_response(503, "busy"));
        }
    }
    client.send(request());
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    TestConnection watch = sidecar.accepted_watch(new_discovery);
    watch.send(chunk("{\"revision\":41,\"complete\":false,\"members\":[]}\n"));
    sleep_for(0.1);
    CHECK(serve_on_new_connection(sidecar, client) == "1");
}

TEST_CASE("after a suspension list changes are read before clients' requests") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    // The next watch is opened after the connection of the client.
    sidecar.watch.close();
    sidecar.watch = sidecar.accepted_watch(sidecar.discovery);
    sidecar.watch.send(chunk("\n"));
    sleep_for(0.1);
    sidecar.signal(SIGSTOP);
    sleep_for(0.1);
    client.send(request());
    sleep_for(0.1);
    json leaving = sidecar.members;
    leaving[0]["phase"] = "Terminating";
    sidecar.send_list_change(leaving);
    sleep_for(0.1);
    sidecar.signal(SIGCONT);
    CHECK(client.read_answer(kSilenceWindow) == "!53300");
    CHECK_FALSE(sidecar.endpoint(kSilenceWindow));
}

TEST_CASE("a pushed list is watched too") {
    SidecarFixture sidecar(1);
    sidecar.config["settings"]["registryMode"] = "automatic";
    sidecar.start_connected();
    FakeServer other;
    sidecar.send_list_change(
        json::array({endpoint_line("s-0", 1, "Gone"), endpoint_line("s-9", other.port)}));
    sleep_for(0.1);
    TestConnection client = sidecar.client();
    client.send(request());
    CHECK(other.accept_connection());
}

}  // namespace tideline::net
