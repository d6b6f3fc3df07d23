// Tests of the lease state machine, the leader's lease timers, and the check of fencing tokens.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "lease/fencing_check.hpp"
#include "lease/lease_manager.hpp"

namespace tideline::test {
namespace {

using namespace lease;

const LeaseName kTask{"task"};
Member member(const char* name, std::uint64_t incarnation = 1) {
    return {Name{name}, Incarnation{incarnation}};
}

// A lease manager whose proposals are committed when the test calls commit().
struct LeaderFixture : LeaseManagerHost {
    struct RecordedReply {
        Answer answer;
        FencingToken token;
        std::size_t before;
    };
    LeaderFixture() : lease_manager(*this, settings, leases) {}
    static constexpr Seconds kSpan = 10;
    LeaseManagerSettings settings{kSpan, 0.01, 1, 20};
    LeaseStateMachine leases;
    LeaseManager lease_manager;
    Seconds now = 100;
    std::uint64_t log_index = 1;
    std::uint64_t rounds = 0;
    std::deque<std::function<void(FencingToken)>> proposals;
    std::map<LeaseRequestId, RecordedReply> replies;
    std::vector<Member> notified_waiters;

    void propose_acquire(const LeaseName& lease, const Member& requester) override {
        proposals.push_back([=, this](FencingToken new_token) {
            leases.acquire(new_token, now, lease, requester);
            lease_manager.on_acquire_applied(now, lease, requester);
        });
    }
    void propose_end(const LeaseName& lease, FencingToken token, HoldingEnd end,
                     const std::vector<Member>& absent) override {
        proposals.push_back([=, this](FencingToken new_token) {
            leases.end_holding(new_token, now, lease, token, end, absent);
            lease_manager.on_applied(now, lease);
        });
    }
    void propose_stop_waiting(const LeaseName& lease, const Member& requester) override {
        proposals.push_back([=, this](FencingToken) {
            leases.stop_waiting(lease, requester);
            lease_manager.on_applied(now, lease);
        });
    }
    RoundId start_round() override {
        return {++rounds};
    }
    void reply(LeaseRequestId id, Answer answer, FencingToken token, Seconds,
               std::size_t before) override {
        replies[id] = {answer, token, before};
    }
    void notify_turn(const Member& requester, const LeaseName&, FencingToken) override {
        notified_waiters.push_back(requester);
    }
    void commit() {
        while (!proposals.empty()) {
            const auto proposal = proposals.front();
            proposals.pop_front();
            proposal(FencingToken{++log_index});
        }
    }
    FencingToken current_token() const {
        const Lease* lease = leases.find(kTask);
        return lease ? lease->now.token : FencingToken{};
    }
    FencingToken acquire_lease(std::uint64_t id, const Member& requester) {
        lease_manager.handle_acquire(now, LeaseRequestId{id}, kTask, requester);
        commit();
        return current_token();
    }
    void advance_time(Seconds span) {
        now += span;
        lease_manager.tick(now);
        commit();
    }
};

}  // namespace

TEST_CASE("one member holds a lease, the others queue, and each grant has a higher fencing token",
          "[lease]") {
    LeaderFixture leader;
    leader.lease_manager.on_leadership_gained(leader.now);
    const FencingToken first = leader.acquire_lease(1, member("a"));
    CHECK(leader.replies[LeaseRequestId{1}].answer == Answer::granted);
    leader.acquire_lease(2, member("b"));
    leader.acquire_lease(3, member("c"));
    CHECK(leader.replies[LeaseRequestId{3}].answer == Answer::waiting);
    CHECK(leader.replies[LeaseRequestId{3}].before == 2);
    leader.lease_manager.handle_release(leader.now, LeaseRequestId{4}, kTask, member("a"), first);
    leader.commit();
    REQUIRE(leader.leases.find(kTask)->now.holder == member("b"));
    CHECK(leader.current_token() > first);
    // Only the next holder is notified, not all waiters.
    CHECK(leader.notified_waiters == std::vector<Member>{member("b")});
    // A delayed duplicate of the release carries the former token and has no effect.
    leader.lease_manager.handle_release(leader.now, LeaseRequestId{5}, kTask, member("a"), first);
    leader.commit();
    CHECK(leader.leases.find(kTask)->now.holder == member("b"));
    CHECK(leader.leases.find(kTask)->past.back().end == HoldingEnd::released);
}

TEST_CASE("a lease is not granted again before it expired by the slowest clock", "[lease]") {
    LeaderFixture leader;
    leader.lease_manager.on_leadership_gained(leader.now);
    const FencingToken first = leader.acquire_lease(1, member("a"));
    leader.acquire_lease(2, member("b"));
    leader.advance_time(LeaderFixture::kSpan * 1.01 / 0.99 - 0.01);
    CHECK(leader.current_token() == first);
    leader.advance_time(0.02);
    CHECK(leader.leases.find(kTask)->now.holder == member("b"));
    CHECK(leader.leases.find(kTask)->past.back().end == HoldingEnd::expired);
}

TEST_CASE("a renewal counts once a round confirmed the leader, from when it was received",
          "[lease]") {
    LeaderFixture leader;
    leader.lease_manager.on_leadership_gained(leader.now);
    const FencingToken first = leader.acquire_lease(1, member("a"));
    leader.acquire_lease(2, member("b"));
    leader.advance_time(8);
    leader.lease_manager.handle_renew(leader.now, LeaseRequestId{3}, kTask, member("a"), first);
    CHECK(!leader.replies.contains(LeaseRequestId{3}));
    leader.advance_time(1);
    leader.lease_manager.on_round_confirmed({leader.rounds});
    CHECK(leader.replies[LeaseRequestId{3}].answer == Answer::granted);
    leader.advance_time(9);  // now 10 s after the renewal was received
    CHECK(leader.current_token() == first);
    leader.advance_time(0.3);
    CHECK(leader.current_token() != first);
    SECTION("a lease that is ending is not renewed") {
        leader.lease_manager.handle_renew(leader.now, LeaseRequestId{4}, kTask, member("a"), first);
        CHECK(leader.replies[LeaseRequestId{4}].answer == Answer::over);
    }
}

TEST_CASE("a new leader waits out all leases that another leader may have renewed", "[lease]") {
    LeaderFixture leader;
    leader.lease_manager.on_leadership_gained(leader.now);
    const FencingToken first = leader.acquire_lease(1, member("a"));
    leader.acquire_lease(2, member("b"));
    leader.advance_time(9);
    leader.lease_manager.on_leadership_lost();
    leader.lease_manager.handle_renew(leader.now, LeaseRequestId{5}, kTask, member("a"), first);
    CHECK(leader.replies[LeaseRequestId{5}].answer == Answer::not_now);
    leader.lease_manager.on_leadership_gained(leader.now);
    leader.advance_time(10);
    CHECK(leader.current_token() == first);
    leader.advance_time(0.5);
    CHECK(leader.current_token() != first);
}

TEST_CASE("a member that does not claim its grant is skipped soon, and an absent one gets no grant",
          "[lease]") {
    LeaderFixture leader;
    leader.lease_manager.on_leadership_gained(leader.now);
    const FencingToken first = leader.acquire_lease(1, member("a"));
    leader.acquire_lease(2, member("b"));
    leader.now += 15;
    leader.acquire_lease(3, member("c"));
    leader.acquire_lease(4, member("d"));
    leader.now += 6;  // the last request of b is 21 s old
    leader.lease_manager.handle_release(leader.now, LeaseRequestId{5}, kTask, member("a"), first);
    leader.commit();
    CHECK(leader.leases.find(kTask)->now.holder == member("c"));
    leader.advance_time(1.1);
    CHECK(leader.leases.find(kTask)->now.holder == member("d"));
    CHECK(leader.leases.find(kTask)->past.back().end == HoldingEnd::unclaimed);
    // A restarted process has another incarnation, so it is another holder.
    leader.acquire_lease(6, member("d", 2));
    CHECK(leader.replies[LeaseRequestId{6}].answer == Answer::waiting);
}

TEST_CASE("a revoked lease is not renewed, and not granted again before it expired", "[lease]") {
    LeaderFixture leader;
    leader.lease_manager.on_leadership_gained(leader.now);
    const FencingToken first = leader.acquire_lease(1, member("a"));
    leader.acquire_lease(2, member("b"));
    leader.leases.revoke(kTask, first);
    leader.lease_manager.handle_renew(leader.now, LeaseRequestId{3}, kTask, member("a"), first);
    CHECK(leader.replies[LeaseRequestId{3}].answer == Answer::over);
    leader.advance_time(5);
    CHECK(leader.current_token() == first);
    leader.advance_time(6);
    CHECK(leader.leases.find(kTask)->now.holder == member("b"));
    CHECK(leader.leases.find(kTask)->past.back().end == HoldingEnd::revoked);
}

TEST_CASE("requests about an earlier holding do not change the present one", "[lease]") {
    LeaseStateMachine leases;
    leases.acquire(FencingToken{2}, 0, kTask, member("a"));
    leases.end_holding(FencingToken{3}, 0, kTask, FencingToken{2}, HoldingEnd::released, {});
    leases.acquire(FencingToken{4}, 0, kTask, member("b"));
    leases.end_holding(FencingToken{5}, 0, kTask, FencingToken{2}, HoldingEnd::expired, {});
    leases.revoke(kTask, FencingToken{2});
    CHECK(leases.find(kTask)->now.token == FencingToken{4});
    CHECK_FALSE(leases.find(kTask)->withdrawn);
    CHECK(leases.raise_alarm(0, kTask, FencingToken{2}, "key", "text") ==
          ChangeResult::stale_token);
    CHECK(leases.raise_alarm(0, kTask, FencingToken{4}, "key", "text") == ChangeResult::done);
    CHECK(leases.raise_alarm(0, kTask, FencingToken{4}, "key", "text") == ChangeResult::unchanged);
    CHECK(leases.clear_alarm(kTask, FencingToken{2}, "key") == ChangeResult::stale_token);
}

// Guards against alarms that keep the outdated text with which they were first raised.
TEST_CASE("an alarm that is raised again keeps its time and takes the newer text", "[lease]") {
    LeaseStateMachine leases;
    const FencingToken token{2};
    leases.acquire(token, 0, kTask, member("a"));
    REQUIRE(leases.raise_alarm(7, kTask, token, "few", "count=14") == ChangeResult::done);
    CHECK(leases.raise_alarm(9, kTask, token, "few", "count=3") == ChangeResult::unchanged);
    const auto& alarm = leases.raised_alarms().at(kTask).at("few");
    CHECK(alarm.text == "count=3");
    CHECK(alarm.since == 7);
}

TEST_CASE("any order of requests keeps one holder and rising fencing tokens", "[lease]") {
    CHECK(rc::check([] {
        LeaderFixture leader;
        leader.lease_manager.on_leadership_gained(leader.now);
        const char* const names[] = {"a", "b", "c"};
        FencingToken highest;
        std::uint64_t id = 0;
        for (int i = 0; i < 60; ++i) {
            const Member requester =
                member(names[*rc::gen::inRange(0, 3)], *rc::gen::inRange<std::uint64_t>(1, 3));
            const FencingToken token{*rc::gen::inRange<std::uint64_t>(0, leader.log_index + 2)};
            switch (*rc::gen::inRange(0, 7)) {
                case 0:
                    leader.lease_manager.handle_release(leader.now, LeaseRequestId{++id}, kTask,
                                                        requester, token);
                    break;
                case 1:
                    leader.lease_manager.handle_renew(leader.now, LeaseRequestId{++id}, kTask,
                                                      requester, token);
                    break;
                case 2:
                    leader.lease_manager.on_round_confirmed({leader.rounds});
                    break;
                case 3:
                    leader.advance_time(*rc::gen::inRange(0, 12));
                    break;
                case 4:
                    leader.lease_manager.on_leadership_lost();
                    leader.lease_manager.on_leadership_gained(leader.now);
                    break;
                case 5:
                    leader.lease_manager.handle_stop_waiting(leader.now, LeaseRequestId{++id},
                                                             kTask, requester);
                    break;
                default:
                    leader.lease_manager.handle_acquire(leader.now, LeaseRequestId{++id}, kTask,
                                                        requester);
            }
            leader.commit();
            const Lease* lease = leader.leases.find(kTask);
            if (!lease)
                continue;
            RC_ASSERT(lease->now.token == FencingToken{} || lease->now.token >= highest);
            highest = std::max(highest, lease->now.token);
            RC_ASSERT(lease->now.token > FencingToken{} || lease->waiting.empty());
            for (const Member& each : lease->waiting)
                RC_ASSERT(std::count(lease->waiting.begin(), lease->waiting.end(), each) == 1 &&
                          each != lease->now.holder);
        }
    }));
}

TEST_CASE("the fencing check lets no older token through", "[lease]") {
    FencingCheck fencing_check;
    CHECK(fencing_check.passes(kTask, FencingToken{3}));
    CHECK(fencing_check.passes(kTask, FencingToken{3}));
    CHECK(fencing_check.passes(kTask, FencingToken{5}));
    CHECK_FALSE(fencing_check.passes(kTask, FencingToken{4}));
    CHECK_FALSE(fencing_check.passes(kTask, FencingToken{}));
    CHECK(fencing_check.passes(LeaseName{"other"}, FencingToken{1}));
}

}  // namespace tideline::test
