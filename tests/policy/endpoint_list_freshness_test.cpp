// Tests of how long an endpoint list may be used, against bounds worked out by hand.
#include "policy/endpoint_list_freshness.hpp"

#include "endpoint_list_fixture.hpp"

using namespace tideline;
using namespace tideline::test;

TEST_CASE(
    "an endpoint list is usable for the time within which changes count as notified, and the "
    "grace") {
    EndpointListFreshness freshness(bounds());
    CHECK(freshness.usable_until() ==
          -EndpointListFreshness::kUnbounded);  // a cached list may be of any age
    freshness.confirmed(110);
    CHECK(freshness.usable_until() ==
          Approx(116.4));  // 110 + 6 + 1, less 0.2 for a send delay and 0.4 for a late change
    freshness.watch_lost(112, WatchLoss::ended);
    CHECK(freshness.usable_until() == Approx(116.4));
    freshness.confirmed(120);
    CHECK(freshness.usable_until() == Approx(126.4));
    const EndpointListFreshness unbounded({});
    CHECK(unbounded.usable_until() == EndpointListFreshness::kUnbounded);
}

TEST_CASE("a change that is incomplete or unreadable counts as notified from its first byte") {
    EndpointListFreshness freshness(bounds());
    freshness.confirmed(110);
    freshness.change_unreadable(111);
    CHECK(freshness.usable_until() == Approx(111.8));
    freshness.watch_lost(113, WatchLoss::unreadable);
    CHECK(freshness.usable_until() == Approx(111.8));
    freshness.confirmed(114);
    CHECK(freshness.usable_until() == Approx(120.4));
}

TEST_CASE("after a move only the watch at the new address confirms, within a shorter time") {
    EndpointListFreshness freshness(bounds());
    freshness.confirmed(110);
    freshness.service_moved(110.5);
    // The service moves again before the first move is complete: the first time counts.
    freshness.service_moved(111);
    CHECK(freshness.usable_until() == Approx(115.3));  // 110.5 + 4 + 1 - 0.2
    freshness.confirmed(117);
    CHECK(freshness.usable_until() ==
          Approx(123.4));  // 117 + 6 + 1, less 0.2 and 0.4: the move is complete
}

TEST_CASE(
    "changes of a pushed list count as notified once the watch is lost, unless it is only silent") {
    EndpointListFreshness freshness(bounds(true));
    freshness.confirmed(110);
    freshness.watch_lost(112, WatchLoss::silent);
    CHECK(freshness.usable_until() == Approx(116.4));
    freshness.watch_lost(113, WatchLoss::ended);
    CHECK(freshness.usable_until() == Approx(113.8));
}

TEST_CASE(
    "once the list has expired no endpoint gets new attempts, whatever it answers, until it is "
    "confirmed") {
    Sidecar sidecar(bounded_settings());
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::complete,
                                     {endpoint("a", 1), endpoint("b", 1)});
    // The confirmation arrived one second before it was read.
    const Seconds confirmed = sidecar.now - 1;
    sidecar.policy.endpoint_list_confirmed(sidecar.now, confirmed);
    sidecar.policy.watch_lost(sidecar.now, sidecar.now, WatchLoss::ended);
    const auto serve = [&](Seconds until) {
        for (; sidecar.now < until; sidecar.run(0.1)) {
            sidecar.serve(always_succeeds);
        }
    };
    serve(confirmed + 6.3);
    const std::size_t before = sidecar.host.sent.size();
    CHECK(before > 40);
    CHECK(sidecar.host.rejected.empty());
    sidecar.run(0.2);
    serve(confirmed + 20);
    CHECK(sidecar.host.sent.size() == before);
    CHECK(sidecar.host.rejected.size() > 100);
    CHECK(sidecar.host.logged("endpoint list expired: no new attempts"));
    sidecar.policy.endpoint_list_confirmed(sidecar.now, sidecar.now);
    serve(sidecar.now + 1);
    CHECK(sidecar.host.sent.size() > before);
    CHECK(sidecar.host.logged("endpoint list valid again"));
}

TEST_CASE(
    "a move, or the loss of a pushed list, counts from when it may have arrived, not from when it "
    "is read") {
    const bool service_moves = GENERATE(true, false);
    Settings settings = bounded_settings();
    if (!service_moves) {
        settings["list.told"] = std::string("unasked");
    }
    Sidecar sidecar(settings);
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::complete, {endpoint("a", 1)});
    sidecar.policy.endpoint_list_confirmed(sidecar.now, sidecar.now);
    sidecar.run(0.6);
    const Seconds since = sidecar.now - 0.5;
    if (service_moves) {
        sidecar.policy.discovery_moved(sidecar.now, since);
    } else {
        sidecar.policy.watch_lost(sidecar.now, since, WatchLoss::ended);
    }
    const Seconds notified_at = service_moves ? since + kNotifiedAfterMove : since;
    // 0.2 s of the grace is kept for a send delay.
    sidecar.run(notified_at + kDrainGrace - 0.3 - sidecar.now);
    sidecar.receive_request();
    CHECK(sidecar.host.sent.size() == 1);
    sidecar.run(0.2);
    sidecar.receive_request();
    CHECK(sidecar.host.sent.size() == 1);
    CHECK(sidecar.host.rejected.size() == 1);
}

TEST_CASE(
    "a request that waits, for an endpoint or a connection, is not sent once the list has "
    "expired") {
    Sidecar sidecar(bounded_settings());
    sidecar.policy.endpoints_updated(sidecar.now, EndpointListKind::complete, {endpoint("a", 1)});
    sidecar.policy.endpoint_list_confirmed(sidecar.now, sidecar.now);
    sidecar.policy.watch_lost(sidecar.now, sidecar.now, WatchLoss::ended);
    sidecar.run(6.3);
    const RequestId request = sidecar.receive_request();
    REQUIRE(sidecar.host.sent.size() == 1);
    CHECK(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{0}));
    std::vector<RequestId> waiting;
    while (sidecar.host.rejected.empty() && waiting.size() < 50) {
        waiting.push_back(sidecar.receive_request());
    }
    sidecar.run(0.2);
    CHECK_FALSE(sidecar.policy.may_still_send(sidecar.now, request, AttemptNumber{0}));
    CHECK(sidecar.policy.rejections(RejectionReason::endpoint_list_expired) > 0);
    const std::size_t sent = sidecar.host.sent.size();
    sidecar.receive_request();
    CHECK(sidecar.host.sent.size() == sent);
}
