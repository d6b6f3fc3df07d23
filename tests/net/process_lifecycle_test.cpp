// The sidecar process: start, suspension, restart, shutdown, and memory use over many connections.
// The program runs as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {

TEST_CASE("thousands of short-lived clients and endpoints leak neither memory nor descriptors") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection endpoint;
    int revision = 100;
    // Not checked with sanitizers, which keep freed memory.
    [[maybe_unused]] long memory = 0;
    for (int i = 0; i < 3000; ++i) {
        if (i == 1000) {
            memory = sidecar.peak_memory_mb();
        }
        // Endpoints are added and removed under ids that are never reused.
        if (i % 3 == 0) {
            for (const char* phase : {"Ready", "Terminating", "Gone"}) {
                json some = json::array();
                for (int k = 0; k < 30; ++k) {
                    some.push_back(endpoint_line("g-" + std::to_string(i * 30 + k), 9, phase));
                }
                sidecar.send_list_change(some, ++revision);
            }
        }
        if (i % 200 == 0) {
            sidecar.feed.send(chunk("{}\n"));
        }
        TestConnection client = sidecar.client();
        if (i % 10 == 9) {
            client.send(request().substr(0, 30));  // a partial message, then the client disconnects
        }
        if (i % 10 != 0) {
            continue;
        }
        client.send(request());
        if (!endpoint) {
            endpoint = sidecar.endpoint();
        }
        if (endpoint.read_message().first != 'Q') {
            break;
        }
        endpoint.send(success_response("1"));
        REQUIRE(client.read_answer() == "1");
    }
    sleep_for(0.1);
    CHECK(sidecar.open_descriptor_count() < 20);
#ifndef __SANITIZE_ADDRESS__
    CHECK(sidecar.peak_memory_mb() <= memory + 1);
#endif
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

TEST_CASE("a suspended sidecar serves an answer that arrived before its timeout") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request("charge", 500));
    TestConnection endpoint = sidecar.queried_endpoint();
    sidecar.signal(SIGSTOP);
    endpoint.send(success_response("in time"));
    sleep_for(0.7);
    sidecar.signal(SIGCONT);
    CHECK(client.read_answer() == "in time");
}

TEST_CASE("after SIGKILL and a restart the sidecar serves without earlier state") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    for (int i = 0; i < 2; ++i) {
        TestConnection client = sidecar.client();
        client.send(request());
        TestConnection endpoint = sidecar.queried_endpoint();
        if (i == 0) {
            sidecar.kill_and_wait(SIGKILL);
            CHECK(client.closed_by_peer());
            sidecar.start_connected();
            continue;
        }
        endpoint.send(success_response("again"));
        CHECK(client.read_answer() == "again");
    }
}

TEST_CASE(
    "SIGTERM: new clients are served for a while, all admitted requests answered, exit status 0") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection busy = sidecar.client();
    TestConnection idle = sidecar.client();
    TestConnection half = sidecar.client();
    half.send(request().substr(0, 20));  // never complete, so never admitted
    busy.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    sidecar.signal(SIGTERM);
    sleep_for(0.05);
    TestConnection late = sidecar.client();
    idle.send(request());
    TestConnection second = sidecar.queried_endpoint();
    second.send(success_response("late"));
    CHECK(idle.read_answer() == "late");
    CHECK(late.closed_by_peer());
    CHECK(idle.closed_by_peer());
    CHECK(sidecar.wait_for_exit(0.1) == -1);
    endpoint.send(success_response("answered"));
    CHECK(busy.read_answer() == "answered");
    CHECK(busy.closed_by_peer());
    busy.close();
    idle.close();
    late.close();
    CHECK(sidecar.wait_for_exit() == 0);
    CHECK(sidecar.log().find("invariant broken") == std::string::npos);
}

TEST_CASE(
    "SIGTERM: a query that crosses the close of its connection is reset, not read and dropped") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection idle = sidecar.client();
    TestConnection served_before = sidecar.client();
    served_before.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    sidecar.signal(SIGTERM);
    const double signalled_at = now();
    CHECK(idle.closed_by_peer());
    sleep_for(std::max(0.0, signalled_at + kShutdownOverlapDuration + 0.05 - now()));
    endpoint.send(success_response("1"));
    CHECK(served_before.read_answer() == "1");
    CHECK(served_before.closed_by_peer());
    // The query crosses the close, so the client must learn that it was not read.
    for (TestConnection* each : {&idle, &served_before}) {
        each->send(request());
        CHECK(each->reset_by_peer(kClientLingerTimeout / 2));
    }
    CHECK(sidecar.wait_for_exit() == 0);
}

}  // namespace tideline::net
