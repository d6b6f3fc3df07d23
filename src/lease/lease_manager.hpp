// The leader's side of leases: decides when a lease expires, and answers the members' requests. It
// grants leases only through entries of the replicated log. It does no I/O and reads no clock; each
// call passes the time in seconds of a monotonic clock.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "lease/lease_state_machine.hpp"

namespace tideline::lease {

// Identifies a round of Raft heartbeats, which confirms the leader once a majority has replied.
using RoundId = Id<struct RoundIdTag, std::uint64_t>;

// The services that the lease manager needs from its planner. No method may call back into the
// lease manager.
class LeaseManagerHost {
  public:
    virtual ~LeaseManagerHost() = default;
    // Propose a command. Once it is applied, the planner calls on_acquire_applied or on_applied;
    // that may never happen if this planner is no longer the leader.
    virtual void propose_acquire(const LeaseName& lease, const Member& member) = 0;
    virtual void propose_end(const LeaseName& lease, FencingToken token, HoldingEnd reason,
                             const std::vector<Member>& absent) = 0;
    virtual void propose_stop_waiting(const LeaseName& lease, const Member& member) = 0;
    // Requests a round of heartbeats that starts after this call. The planner calls
    // on_round_confirmed once it is certain that no other planner was the leader when the round
    // started.
    virtual RoundId start_round() = 0;
    // Answers a request. `before` is the member's position in the queue, counted from 1; 0 if it is
    // not in the queue.
    virtual void reply(LeaseRequestId id, Answer result, FencingToken token, Seconds span,
                       std::size_t before) = 0;
    // Notifies a waiter that the lease was granted to it, so that it requests the lease at once.
    virtual void notify_turn(const Member& member, const LeaseName& lease, FencingToken token) = 0;
};

// Settings from the operator's file.
struct LeaseManagerSettings {
    // The duration of a lease, counted by the holder's own clock from when it sent its request.
    Seconds span = 6;
    // The maximum relative error of a clock's rate.
    double drift = 0.001;
    // A waiter that was granted the lease has to request it within this time.
    Seconds claim = 1;
    // A waiter that has not requested the lease for this time is removed from the queue.
    Seconds absent = 12;
    // The time after which the leader knows that a holder can no longer act. It is longer than the
    // span because the holder's clock may run slow and the leader's fast.
    Seconds wait() const {
        return span * (1 + drift) / (1 - drift);
    }
    bool operator==(const LeaseManagerSettings&) const = default;
};

// Grants, renews and ends leases while this planner is the leader. Not thread-safe; called from the
// event loop only.
class LeaseManager {
  public:
    LeaseManager(LeaseManagerHost& host, const LeaseManagerSettings& settings,
                 const LeaseStateMachine& leases);
    // Copies `other`, but uses another host and state machine; for simulation.
    LeaseManager(const LeaseManager& other, LeaseManagerHost& host,
                 const LeaseStateMachine& leases);

    // This planner became the leader and has applied all entries that were committed before its
    // term.
    void on_leadership_gained(Seconds now);
    void on_leadership_lost();
    bool is_leader() const {
        return is_leader_;
    }

    // Requests of members. Each is answered through LeaseManagerHost::reply, now or later.
    void handle_acquire(Seconds now, LeaseRequestId id, const LeaseName& lease,
                        const Member& member);
    void handle_renew(Seconds now, LeaseRequestId id, const LeaseName& lease, const Member& member,
                      FencingToken token);
    void handle_release(Seconds now, LeaseRequestId id, const LeaseName& lease,
                        const Member& member, FencingToken token);
    void handle_stop_waiting(Seconds now, LeaseRequestId id, const LeaseName& lease,
                             const Member& member);
    // A command to acquire the lease was applied to the lease state machine.
    void on_acquire_applied(Seconds now, const LeaseName& lease, const Member& member);
    // Any other command for the lease was applied to the lease state machine.
    void on_applied(Seconds now, const LeaseName& lease);
    // All rounds up to this one are confirmed.
    void on_round_confirmed(RoundId round);
    void tick(Seconds now);
    // Returns the time at which tick has to be called next; infinity if it need not be called.
    Seconds due() const;

    // The time until the lease can be granted to another member. It is only displayed.
    Seconds time_left(Seconds now, const LeaseName& lease) const;
    // A text of the whole state, for model checking: two objects with equal texts behave alike.
    std::string fingerprint(Seconds now) const;

  private:
    // Decides when the present holding of a lease ends.
    struct HoldingTimer {
        FencingToken token;
        Seconds until = 0;     // the holder can't act after this time
        Seconds claim_by = 0;  // if `answered` is false, the time until which the holder has to ask
        bool answered = true;  // a leader may have told the holder that it holds the lease
        bool ending = false;   // the end of the holding is proposed, so it is not renewed any more
    };
    // A renewal that is answered once its round of heartbeats is confirmed.
    struct PendingRenewal {
        LeaseRequestId id;
        LeaseName lease;
        FencingToken token;
        Seconds received_at = 0;
    };
    void renew(Seconds now, LeaseRequestId id, const LeaseName& lease, FencingToken token);
    void end_holding(const LeaseName& lease, HoldingTimer& timer, HoldingEnd reason, Seconds now);
    std::vector<Member> find_absent_waiters(Seconds now, const LeaseName& name) const;
    void remove_old_request_times(Seconds now);

    LeaseManagerHost* host_;
    LeaseManagerSettings settings_;
    const LeaseStateMachine* leases_;
    bool is_leader_ = false;
    Seconds leader_since_ = 0;
    std::map<LeaseName, HoldingTimer> timers_;
    using Requester = std::pair<LeaseName, Member>;
    // Requests whose command is proposed but not applied yet.
    std::map<Requester, LeaseRequestId> pending_acquires_;
    // When each member last requested each lease.
    std::map<Requester, Seconds> last_requested_at_;
    Seconds next_sweep_at_ = 0;
    std::multimap<RoundId, PendingRenewal> pending_renewals_;
};

}  // namespace tideline::lease
