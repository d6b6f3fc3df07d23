// The member's side of leases: requests those that the member wants, renews them, and says before
// each act whether the member still holds the lease. Any planner will do; where one does not answer
// it asks another. No I/O and no clock: the times are of a clock that never goes back and goes on
// while the machine is suspended (lease/clock.hpp).
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "lease/types.hpp"

namespace tideline::lease {

// Why a lease is no longer held. revoked: the planners answered that it is not this member's.
enum class LossReason { released, expired, revoked };

// How requests reach a planner, and who is notified. No method may call back into the client.
class LeaseClientHost {
  public:
    virtual ~LeaseClientHost() = default;
    virtual void request_acquire(LeaseRequestId id, const LeaseName& lease) = 0;
    virtual void request_renewal(LeaseRequestId id, const LeaseName& lease, FencingToken token) = 0;
    virtual void request_release(LeaseRequestId id, const LeaseName& lease, FencingToken token) = 0;
    virtual void request_stop_waiting(LeaseRequestId id, const LeaseName& lease) = 0;
    // The planner that was asked did not answer, or can't.
    virtual void switch_planner() = 0;
    virtual void on_acquired(const LeaseName& lease, FencingToken token) = 0;
    virtual void on_lost(const LeaseName& lease, FencingToken token, LossReason reason) = 0;
};

// The operator's settings. Seconds, all above 0.
struct LeaseClientSettings {
    // Timeout of a request, before another planner is asked.
    Seconds answer_wait = 0.5;
    // Between requests while others come first.
    Seconds ask_again = 2;
    // At most, from one renewal to the next; a third of the span where that is less.
    Seconds renew_most = 2;
    bool operator==(const LeaseClientSettings&) const = default;
};

// Not thread-safe; called from the event loop only.
class LeaseClient {
  public:
    // Each incarnation numbers its requests from another start: otherwise an answer to the former
    // incarnation could be taken for one to a request of this one.
    LeaseClient(LeaseClientHost& host, const LeaseClientSettings& settings,
                Incarnation incarnation);
    // A copy; for simulation.
    LeaseClient(const LeaseClient& other, LeaseClientHost& host);

    // Requests the lease and keeps it until release() is called.
    void acquire(Seconds now, const LeaseName& lease);
    // Releases the lease, or leaves the queue.
    void release(Seconds now, const LeaseName& lease);
    // Answers of a planner. One that answers no open request is ignored.
    void on_granted(Seconds now, LeaseRequestId id, FencingToken token, Seconds span);
    void on_waiting(Seconds now, LeaseRequestId id, std::size_t before);
    void on_over(Seconds now, LeaseRequestId id);
    void on_not_now(Seconds now, LeaseRequestId id);
    void on_refused(Seconds now, LeaseRequestId id);
    // The lease was granted to this member while it waited.
    void on_turn(Seconds now, const LeaseName& lease);
    // Renews a held lease before its time.
    void renew_now(Seconds now, const LeaseName& lease);
    void tick(Seconds now);
    // When tick has to be called next; infinite if never.
    Seconds due() const;

    // The token under which the member may act now; nothing if it does not hold the lease. Call it
    // right before each act and pass the token on to the target of the act.
    std::optional<FencingToken> may_act(Seconds now, const LeaseName& lease) const;
    std::vector<LeaseName> wanted_leases() const;
    // How many waiters come first; 0 if the member does not wait.
    std::size_t queue_position(const LeaseName& lease) const;
    // All that later steps depend on, as text; for model checking.
    std::string fingerprint(Seconds now) const;

  private:
    struct WantedLease {
        // 0: not held.
        FencingToken token;
        // The member may act until then.
        Seconds until = 0;
        // The open one; 0: none.
        LeaseRequestId request;
        Seconds requested_at = 0;
        Seconds next_request_at = 0;
        std::size_t queue_position = 0;
        // In a row.
        int failed_attempts = 0;
    };
    WantedLease* close_request(LeaseRequestId id, LeaseName& lease);
    void send_request(Seconds now, const LeaseName& lease, WantedLease& wanted);
    void release_token(const LeaseName& lease, FencingToken token);
    void lose(const LeaseName& lease, WantedLease& wanted, LossReason reason);
    void back_off(Seconds now, WantedLease& wanted) const;

    LeaseClientHost* host_;
    LeaseClientSettings settings_;
    std::map<LeaseName, WantedLease> wanted_leases_;
    // The highest token of each lease that was released.
    std::map<LeaseName, FencingToken> released_tokens_;
    LeaseRequestId last_request_;
};

}  // namespace tideline::lease
