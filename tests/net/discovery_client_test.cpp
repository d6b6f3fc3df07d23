// The watch on the endpoint list: how it is lost and opened again, and the layouts in which lists
// arrive. The program runs as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {

TEST_CASE("a lost watch is opened again from the last revision") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    sidecar.send_list_change(sidecar.members, 57);
    json malformed = endpoint_line("s-1", 9);
    malformed["size"] = -1;
    const std::string end = GENERATE_COPY(
        std::string(), chunk("{no json\n"), std::string("no chunk\r\n"), chunk("[]\n"),
        chunk(json{{"revision", 58}, {"complete", false}, {"members", {malformed}}}.dump() + "\n"));
    sidecar.watch.send(end);
    if (end.empty()) {
        sidecar.watch.close();
    }
    TestConnection again = sidecar.discovery.accept_connection();
    CHECK(again.read_until("\r\n\r\n").find("follow=1&since=57") != std::string::npos);
    again.send(http_response(503, "busy"));
    // There is one call after each loss, and its stream may begin with a complete list.
    TestConnection third = sidecar.discovery.accept_connection();
    CHECK(third.read_until("\r\n\r\n").find("follow=1&since=57") != std::string::npos);
    CHECK_FALSE(sidecar.discovery.accept_connection(kSilenceWindow));
    FakeServer other;
    third.send(kStreamHead + chunk(json{{"revision", 60},
                                        {"complete", true},
                                        {"members", {endpoint_line("s-9", other.port)}}}
                                       .dump() +
                                   "\n"));
    TestConnection client = sidecar.client();
    sleep_for(0.1);
    client.send(request());
    CHECK(other.accept_connection());
}

TEST_CASE("a list that arrives indented, in pieces, or several on a line keeps the watch open") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    const json first = {{"revision", 43},
                        {"complete", false},
                        {"members", {endpoint_line("s-0", sidecar.endpoints[0].port, "Gone")}}};
    FakeServer other;
    const json second = {
        {"revision", 44}, {"complete", false}, {"members", {endpoint_line("s-9", other.port)}}};
    const int way = GENERATE(0, 1, 2);
    const std::string text = way == 0   ? first.dump(2) + "\n\n" + second.dump(2) + "\n"
                             : way == 1 ? first.dump() + second.dump() + "\n"
                                        : first.dump(1) + "\n" + second.dump() + "\n";
    for (std::size_t i = 0; i < text.size(); i += way == 1 ? text.size() : 1) {
        sidecar.watch.send(chunk(text.substr(i, way == 1 ? text.size() : 1)));
    }
    TestConnection client = sidecar.client();
    sleep_for(0.2);
    client.send(request());
    CHECK(other.accept_connection());
    CHECK_FALSE(
        sidecar.discovery.accept_connection(kSilenceWindow));  // the watch was not opened again
}

TEST_CASE("a truncated object loses the watch though heartbeats follow it") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    sidecar.watch.send(chunk("{\"revision\":43,\"complete\":\n"));
    double waited = 0;
    TestConnection again;
    for (const double begun = now(); !again && waited < 2 * kJsonObjectTimeout;
         waited = now() - begun) {
        sidecar.watch.send(chunk("\n"));
        again = sidecar.discovery.accept_connection(0.2);
    }
    CHECK(again.read_until("\r\n\r\n").find("follow=1&since=41") != std::string::npos);
}

}  // namespace tideline::net
