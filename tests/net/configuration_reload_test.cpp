// The configuration: missing and invalid settings at the start, and the reload at SIGHUP. The
// program runs as a separate process and is reached over loopback.
#include "sidecar_fixture.hpp"

namespace tideline::net {

TEST_CASE("SIGHUP: connections move to new addresses without losing updates in between") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    TestConnection client = sidecar.client();
    client.send(request());
    TestConnection endpoint = sidecar.queried_endpoint();
    FakeServer new_discovery;
    FakeServer platform;
    FakeServer fresh;
    sidecar.config["discovery"] = "127.0.0.1:" + std::to_string(new_discovery.port);
    sidecar.config["deployer"]["address"] = "127.0.0.1:" + std::to_string(platform.port);
    const std::string broken =
        GENERATE(std::string(), std::string("{\"name\":"), std::string("[]"));
    sidecar.write_config(broken);
    sidecar.signal(SIGHUP);
    endpoint.send(success_response("1"));
    CHECK(client.read_answer() == "1");
    if (!broken.empty()) {
        CHECK_FALSE(new_discovery.accept_connection(0.3));
        CHECK(sidecar.log().find("configuration rejected: error=") != std::string::npos);
    }
    sidecar.write_config();
    if (broken.empty()) {
        // The signal is sent again at once. After a rejected file, the sidecar reads the new one
        // unasked.
        sidecar.signal(SIGHUP);
    }
    TestConnection watch = new_discovery.accept_connection();
    TestConnection feed = platform.accept_connection();
    REQUIRE(watch.read_until("\r\n\r\n").find("since=41") != std::string::npos);
    REQUIRE(feed.read_until("\r\n\r\n").find("GET /api/feed") == 0);
    sidecar.announce_stage(release_state("canary", 42, 0.5));
    // The old feed is still read, and votes go to the new address.
    TestConnection votes = platform.accept_connection();
    CHECK(votes.read_until("}").find("\"version\":42") != std::string::npos);
    CHECK_FALSE(sidecar.watch.closed_by_peer(0.2));
    CHECK_FALSE(sidecar.feed.closed_by_peer(0.1));
    // The old watch is still read, too.
    sidecar.send_list_change(json::array({endpoint_line("s-1", fresh.port)}));
    sleep_for(0.1);
    watch.send(kStreamHead + chunk("\n"));
    feed.send(kStreamHead + chunk("{}\n"));
    CHECK(sidecar.watch.closed_by_peer());
    CHECK(sidecar.feed.closed_by_peer());
    watch.send(chunk(json{{"revision", 44},
                          {"complete", false},
                          {"members", json::array({endpoint_line("s-0", 1, "Terminating")})}}
                         .dump() +
                     "\n"));
    sleep_for(0.1);
    client.send(request());
    CHECK(fresh.accept_connection());
    sidecar.signal(SIGHUP);
    sidecar.signal(SIGTERM);
    CHECK_FALSE(
        new_discovery.accept_connection(0.2));  // an unchanged address is not connected to again
    client.close();
    CHECK(sidecar.wait_for_exit() == 0);
}

TEST_CASE(
    "SIGHUP: a vote in flight is answered at the old address, the next one goes to the new "
    "address") {
    SidecarFixture sidecar(1);
    sidecar.config["settings"]["familyInfo"]["voteWaitUs"] = 1500000;
    sidecar.start_connected();
    sidecar.announce_stage(release_state("canary", 42, 0.5));
    TestConnection old = sidecar.platform.accept_connection();
    REQUIRE(old.read_until("}").find("\"version\":42") != std::string::npos);
    FakeServer platform;
    sidecar.config["deployer"]["address"] = "127.0.0.1:" + std::to_string(platform.port);
    sidecar.write_config();
    sidecar.signal(SIGHUP);
    TestConnection feed = platform.accept_connection();
    CHECK_FALSE(old.closed_by_peer(0.1));
    old.send(http_response(429, "{\"error\":\"BUSY\"}"));
    TestConnection next = platform.accept_connection(2);
    CHECK(next.read_until("}").find("\"version\":42") != std::string::npos);
    CHECK(old.closed_by_peer(1));
}

TEST_CASE("SIGHUP: a change that needs a restart is logged, and the old watch may end at once") {
    SidecarFixture sidecar(1);
    sidecar.start_connected();
    FakeServer new_discovery;
    sidecar.config["settings"]["safety"]["drainGraceUs"] = 400000;
    sidecar.configure_discovery_at(new_discovery);
    sidecar.signal(SIGHUP);
    TestConnection first = new_discovery.accept_connection();
    REQUIRE(first);
    first.close();  // the new watch is lost before it is established
    TestConnection second = new_discovery.accept_connection();
    REQUIRE(second);
    sidecar.watch.close();
    second.read_until("\r\n\r\n");
    second.send(
        kStreamHead +
        chunk(json{{"revision", 50},
                   {"complete", true},
                   {"members", json::array({endpoint_line("s-7", sidecar.endpoints[0].port)})}}
                  .dump() +
              "\n"));
    sleep_for(0.2);
    CHECK(sidecar.log().find("configuration change needs restart: settings") != std::string::npos);
    CHECK(sidecar.log().find("endpoint list watch lost") == std::string::npos);
    CHECK_FALSE(second.closed_by_peer(0.2));
}

TEST_CASE("a missing setting is named on standard error and fails the start") {
    SidecarFixture sidecar(1);
    const auto& [pointer, named] = GENERATE(
        table<std::string, std::string>({{"/listen", "listen"},
                                         {"/discovery", "discovery"},
                                         {"/deployer/address", "deployer/address"},
                                         {"/seed", "seed"},
                                         {"/settings", "settings"},
                                         {"/settings/safety/drainGraceUs", "rules.drain_grace"},
                                         {"/settings/ceilings/keepaliveUs", "allowed.keep_idle"}}));
    const json::json_pointer at(pointer);
    sidecar.config[at.parent_pointer()].erase(at.back());
    sidecar.start();
    CHECK(sidecar.wait_for_exit() == 1);
    CHECK(sidecar.log().find(named) != std::string::npos);
}

TEST_CASE(
    "an invalid configuration fails the start, is rejected at SIGHUP, and its error is named") {
    SidecarFixture sidecar(1);
    const auto& [pointer, value, named] = GENERATE(table<std::string, json, std::string>(
        {{"/settings/ceilings/connectTimeoutUs", -1, "allowed.connect_time"},
         {"/settings/ceilings/keepaliveUs", "long", "allowed.keep_idle"},
         {"/settings/familyInfo/voteWaitUs", 0, "release.vote_wait"},
         {"/settings/safety/coldFrom", 7, "rules.cold_share"},
         {"/settings/safety/fallUs", "x", "rules.fall_window"},
         {"/settings/familyInfo/gateMode", "by_moon", "release.moved_by"},
         {"/settings/classes/1/effect", 3, "operations.1.effect"},
         {"/settings/classes", json::array(), "operations"},
         {"/settings", json::array(), "settings"},
         {"/listen", 5432, "listen"},
         {"/discovery", "nowhere", "discovery"},
         {"/seed", "no hex", "seed"}}));
    const json::json_pointer at(pointer);
    const json good = sidecar.config[at];
    const bool reload = GENERATE(false, true);
    if (!reload) {
        sidecar.config[at] = value;
    }
    if (reload) {
        sidecar.start_connected();
        FakeServer new_discovery;
        const json before = sidecar.config["discovery"];
        sidecar.config["discovery"] = "127.0.0.1:" + std::to_string(new_discovery.port);
        sidecar.config[at] = value;
        sidecar.write_config();
        sidecar.signal(SIGHUP);
        CHECK_FALSE(
            new_discovery.accept_connection(0.3));  // nothing of the rejected file is applied
        CHECK(sidecar.log().find("configuration rejected: error=") != std::string::npos);
        sidecar.config["discovery"] = before;
    } else {
        sidecar.start();
        CHECK(sidecar.wait_for_exit() == 1);
        const std::string log = sidecar.log();
        CHECK(std::count(log.begin(), log.end(), '\n') == 1);
    }
    CHECK(sidecar.log().find(named) != std::string::npos);
}

}  // namespace tideline::net
