// Tests of the lease client: when the member may act, and which requests it repeats.
#include "lease/lease_client.hpp"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace tideline::test {
namespace {

using namespace lease;

const LeaseName kTask{"task"};

// Records the requests of a lease client. The first part is the kind of the request: 't' acquires,
// 'r' renews, 'b' releases, 's' stops waiting.
struct ClientFixture : LeaseClientHost {
    explicit ClientFixture(std::uint64_t incarnation = 1)
        : lease_client(*this, {1, 2, 3}, Incarnation{incarnation}) {}
    LeaseClient lease_client;
    std::vector<std::pair<char, LeaseRequestId>> requests;
    int planner_switches = 0;
    int acquisitions = 0;
    int losses = 0;
    void request_acquire(LeaseRequestId id, const LeaseName&) override {
        requests.emplace_back('t', id);
    }
    void request_renewal(LeaseRequestId id, const LeaseName&, FencingToken) override {
        requests.emplace_back('r', id);
    }
    void request_release(LeaseRequestId id, const LeaseName&, FencingToken) override {
        requests.emplace_back('b', id);
    }
    void request_stop_waiting(LeaseRequestId id, const LeaseName&) override {
        requests.emplace_back('s', id);
    }
    void switch_planner() override {
        ++planner_switches;
    }
    void on_acquired(const LeaseName&, FencingToken) override {
        ++acquisitions;
    }
    void on_lost(const LeaseName&, FencingToken, LossReason) override {
        ++losses;
    }
    LeaseRequestId last() const {
        return requests.back().second;
    }
};

}  // namespace

TEST_CASE("a holder counts its lease from when it sent the request, whenever the reply arrives",
          "[lease]") {
    ClientFixture client;
    client.lease_client.acquire(50, kTask);
    client.lease_client.on_granted(50.9, client.last(), FencingToken{7}, 10);
    CHECK(client.lease_client.may_act(59.9, kTask) == FencingToken{7});
    CHECK(!client.lease_client.may_act(60, kTask));
    SECTION("a renewal in time extends it") {
        client.lease_client.tick(53.4);
        CHECK(client.requests.back().first == 'r');
        client.lease_client.on_granted(53.6, client.last(), FencingToken{7}, 10);
        CHECK(client.lease_client.may_act(63.3, kTask) == FencingToken{7});
    }
    SECTION("a late reply is ignored") {
        client.lease_client.tick(53.4);
        client.lease_client.on_granted(64, client.last(), FencingToken{7}, 10);
        CHECK(!client.lease_client.may_act(64, kTask));
    }
    SECTION("a reply to an abandoned request is ignored") {
        const LeaseRequestId abandoned_request = client.last();
        client.lease_client.tick(53.9);
        client.lease_client.on_granted(54, abandoned_request, FencingToken{9}, 10);
        CHECK(client.lease_client.may_act(54, kTask) == FencingToken{7});
    }
    SECTION("notified that it is over it stops at once, and releases the lease") {
        client.lease_client.tick(53.9);
        client.lease_client.on_over(54, client.last());
        CHECK(!client.lease_client.may_act(54, kTask));
        CHECK(client.requests.back().first == 'b');
        // A released token is not used again, even if it is granted once more.
        client.lease_client.tick(56);
        client.lease_client.on_granted(56.1, client.last(), FencingToken{7}, 10);
        CHECK(!client.lease_client.may_act(56.2, kTask));
        client.lease_client.tick(62);
        client.lease_client.on_granted(62.1, client.last(), FencingToken{8}, 10);
        CHECK(client.lease_client.may_act(62.2, kTask) == FencingToken{8});
    }
}

TEST_CASE("a reply to an earlier incarnation is ignored by this one", "[lease]") {
    ClientFixture former_incarnation(1);
    ClientFixture present_incarnation(2);
    former_incarnation.lease_client.acquire(50, kTask);
    present_incarnation.lease_client.acquire(60, kTask);
    present_incarnation.lease_client.on_granted(60.1, former_incarnation.last(), FencingToken{7},
                                                10);
    CHECK(!present_incarnation.lease_client.may_act(60.2, kTask));
}

TEST_CASE("if a planner does not reply, another is asked, at a bounded rate", "[lease]") {
    ClientFixture client;
    client.lease_client.acquire(50, kTask);
    int requests_sent = 0;
    for (Seconds now = 50; now < 110; now += 0.1) {
        const auto before = client.requests.size();
        client.lease_client.tick(now);
        requests_sent += static_cast<int>(client.requests.size() - before);
    }
    CHECK(client.planner_switches >= 8);
    CHECK(requests_sent <= 20);
}

}  // namespace tideline::test
