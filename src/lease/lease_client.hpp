// The member's side of leases: requests the leases that the member wants, renews them, and tells
// before each leased operation whether the member still holds the lease. Requests may go to any
// planner; if one does not answer, the client switches to another. It does no I/O and reads no
// clock; the times come from a monotonic clock that includes suspension (lease/clock.hpp).
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "lease/types.hpp"

namespace tideline::lease {

// Why a member no longer holds a lease.
enum class LossReason {
    released,
    expired,
    // A planner answered that the member does not hold the lease.
    revoked
};

// Sends requests to a planner, and is notified of changes. No method may call back into the client.
class LeaseClientHost {
  public:
    virtual ~LeaseClientHost() = default;
    virtual void request_acquire(LeaseRequestId id, const LeaseName& lease) = 0;
    virtual void request_renewal(LeaseRequestId id, const LeaseName& lease, FencingToken token) = 0;
    virtual void request_release(LeaseRequestId id, const LeaseName& lease, FencingToken token) = 0;
    virtual void request_stop_waiting(LeaseRequestId id, const LeaseName& lease) = 0;
    // Sends further requests to another planner: the present one did not answer, or can't decide.
    virtual void switch_planner() = 0;
    virtual void on_acquired(const LeaseName& lease, FencingToken token) = 0;
    virtual void on_lost(const LeaseName& lease, FencingToken token, LossReason reason) = 0;
};

// Settings from the operator's file. All of them are above 0.
struct LeaseClientSettings {
    // The timeout of a request, after which the client switches to another planner.
    Seconds answer_wait = 0.5;
    // The interval between requests while the member is in the queue.
    Seconds queue_poll_interval = 2;
    // The maximum interval between renewals. It is a third of the span if that is shorter.
    Seconds max_renewal_interval = 2;
    bool operator==(const LeaseClientSettings&) const = default;
};

// Keeps the leases that the member wants. Not thread-safe; called from the event loop only.
class LeaseClient {
  public:
    // The request ids of each incarnation start from another number. Otherwise an answer to the
    // former incarnation could be mistaken for an answer to this one.
    LeaseClient(LeaseClientHost& host, const LeaseClientSettings& settings,
                Incarnation incarnation);
    // Copies `other`, but uses another host; for simulation.
    LeaseClient(const LeaseClient& other, LeaseClientHost& host);

    // Requests the lease and renews it until release() is called.
    void acquire(Seconds now, const LeaseName& lease);
    // Releases the lease, or leaves the queue.
    void release(Seconds now, const LeaseName& lease);
    // Answers of a planner. An answer to a request that is no longer open is ignored.
    void on_granted(Seconds now, LeaseRequestId id, FencingToken token, Seconds span);
    void on_waiting(Seconds now, LeaseRequestId id, std::size_t before);
    void on_over(Seconds now, LeaseRequestId id);
    void on_not_now(Seconds now, LeaseRequestId id);
    void on_refused(Seconds now, LeaseRequestId id);
    // A planner granted the lease to this member while it was in the queue.
    void on_turn(Seconds now, const LeaseName& lease);
    // Renews a held lease before its renewal is due.
    void renew_now(Seconds now, const LeaseName& lease);
    void tick(Seconds now);
    // Returns the time at which tick has to be called next; infinity if it need not be called.
    Seconds due() const;

    // Returns the token under which the member may act now, or nothing if it does not hold the
    // lease. Call this directly before each leased operation, and pass the token to the target of
    // the operation.
    std::optional<FencingToken> may_act(Seconds now, const LeaseName& lease) const;
    // The leases that the member holds or waits for.
    std::vector<LeaseName> wanted_leases() const;
    // The member's position in the queue, counted from 1; 0 if it is not known to be in the queue.
    std::size_t queue_position(const LeaseName& lease) const;
    // A text of the whole state, for model checking: two objects with equal texts behave alike.
    std::string fingerprint(Seconds now) const;

  private:
    struct WantedLease {
        // 0 if the member does not hold the lease.
        FencingToken token;
        // The time until which the member may act.
        Seconds until = 0;
        // The open request; 0 if there is none.
        LeaseRequestId request;
        Seconds requested_at = 0;
        Seconds next_request_at = 0;
        std::size_t queue_position = 0;
        // The number of requests in a row that failed.
        int failed_attempts = 0;
    };
    // Marks the request as answered. Returns the lease that it was for, and sets `lease` to its
    // name; nullptr if the request is not open.
    WantedLease* close_request(LeaseRequestId id, LeaseName& lease);
    void send_request(Seconds now, const LeaseName& lease, WantedLease& wanted);
    void release_token(const LeaseName& lease, FencingToken token);
    void mark_lost(const LeaseName& lease, WantedLease& wanted, LossReason reason);
    void back_off(Seconds now, WantedLease& wanted) const;

    LeaseClientHost* host_;
    LeaseClientSettings settings_;
    std::map<LeaseName, WantedLease> wanted_leases_;
    // The highest token of each lease that was released.
    std::map<LeaseName, FencingToken> released_tokens_;
    LeaseRequestId last_request_;
};

}  // namespace tideline::lease
