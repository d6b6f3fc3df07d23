// The leader's side of leases: it decides when a holder's time is over and answers the members'
// requests. What it grants, it grants through entries of the log. No I/O and no clock: each call
// carries the time in seconds of a clock that never goes back.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "lease/lease_state_machine.hpp"

namespace tideline::lease {

// A round of heartbeats of the log that a majority has to confirm.
using RoundId = Id<struct RoundIdTag, std::uint64_t>;

// What the lease manager needs of its planner. No method may call back into the lease manager.
class LeaseManagerHost {
  public:
    virtual ~LeaseManagerHost() = default;
    // Proposes a command. on_acquire_applied or on_applied follows once it is applied, or never if
    // this planner is no longer the leader.
    virtual void propose_acquire(const LeaseName& lease, const Member& member) = 0;
    virtual void propose_end(const LeaseName& lease, FencingToken token, HoldingEnd how,
                             const std::vector<Member>& absent) = 0;
    virtual void propose_stop_waiting(const LeaseName& lease, const Member& member) = 0;
    // A round that starts after this call. on_round_confirmed follows once no other planner can
    // have been the leader when it started.
    virtual RoundId start_round() = 0;
    // Answers a request. `before`: how many waiters come first.
    virtual void reply(LeaseRequestId id, Answer result, FencingToken token, Seconds span,
                       std::size_t before) = 0;
    // Tells a waiter that the lease was granted to it, so that it asks at once.
    virtual void notify_turn(const Member& member, const LeaseName& lease, FencingToken token) = 0;
};

// The operator's settings.
struct LeaseManagerSettings {
    Seconds span = 6;      // s: a holder may act this long from before it asked, by its own clock
    double drift = 0.001;  // share by which any clock may run fast or slow
    Seconds claim = 1;     // s: a waiter that was granted the lease has to ask for it within this
    Seconds absent = 12;   // s: a waiter that has not asked for this long is skipped
    // How long the leader waits until a holder can no longer act: the holder's clock may be slow
    // and the leader's fast.
    Seconds wait() const {
        return span * (1 + drift) / (1 - drift);
    }
    bool operator==(const LeaseManagerSettings&) const = default;
};

// Not thread-safe; called from the event loop only.
class LeaseManager {
  public:
    LeaseManager(LeaseManagerHost& host, const LeaseManagerSettings& settings,
                 const LeaseStateMachine& leases);
    // A copy; for simulation.
    LeaseManager(const LeaseManager& other, LeaseManagerHost& host,
                 const LeaseStateMachine& leases);

    // This planner is the leader, and has applied all that was committed before its term.
    void on_leadership_gained(Seconds now);
    void on_leadership_lost();
    bool is_leader() const {
        return is_leader_;
    }

    // Requests of members; each is answered by LeaseManagerHost::reply, now or later.
    void handle_acquire(Seconds now, LeaseRequestId id, const LeaseName& lease,
                        const Member& member);
    void handle_renew(Seconds now, LeaseRequestId id, const LeaseName& lease, const Member& member,
                      FencingToken token);
    void handle_release(Seconds now, LeaseRequestId id, const LeaseName& lease,
                        const Member& member, FencingToken token);
    void handle_stop_waiting(Seconds now, LeaseRequestId id, const LeaseName& lease,
                             const Member& member);
    // A committed entry was applied to the lease state machine.
    void on_acquire_applied(Seconds now, const LeaseName& lease, const Member& member);
    void on_applied(Seconds now, const LeaseName& lease);  // any other command about the lease
    // All rounds up to this one are confirmed.
    void on_round_confirmed(RoundId round);
    void tick(Seconds now);
    // When tick has to be called next; infinite if never.
    Seconds due() const;

    // Time until the lease can be granted to another member; for people to read.
    Seconds time_left(Seconds now, const LeaseName& lease) const;
    // All that later steps depend on, as text; for model checking.
    std::string fingerprint(Seconds now) const;

  private:
    // When the present holding of a lease ends.
    struct HoldingTimer {
        FencingToken token;
        Seconds until = 0;     // the holder can't act after this
        Seconds claim_by = 0;  // where the holder was not answered yet
        bool answered = true;  // a leader may have answered that it holds the lease
        bool ending = false;   // its end is proposed: it is not renewed any more
    };
    // A renewal that is answered once its round is confirmed.
    struct PendingRenewal {
        LeaseRequestId id;
        LeaseName lease;
        FencingToken token;
        Seconds received = 0;
    };
    void renew(Seconds now, LeaseRequestId id, const LeaseName& lease, FencingToken token);
    void end(const LeaseName& lease, HoldingTimer& timer, HoldingEnd how, Seconds now);
    std::vector<Member> absent(Seconds now, const LeaseName& name) const;
    void forget(Seconds now);

    LeaseManagerHost* host_;
    LeaseManagerSettings settings_;
    const LeaseStateMachine* leases_;
    bool is_leader_ = false;
    Seconds leader_since_ = 0;
    std::map<LeaseName, HoldingTimer> timers_;
    using Requester = std::pair<LeaseName, Member>;
    std::map<Requester, LeaseRequestId> pending_acquires_;  // proposed, not yet applied
    std::map<Requester, Seconds> last_asked_at_;            // when each asked for the lease last
    Seconds forget_at_ = 0;
    std::multimap<RoundId, PendingRenewal> pending_renewals_;
};

}  // namespace tideline::lease
