// The replicated state of leases, to which the committed commands of the planners' log are applied.
// The same commands lead to the same state on every planner, so this class reads no clock and does
// no I/O. The times in the state come from the leader and are only displayed.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "lease/types.hpp"

namespace tideline::lease {

// Limits. They bound the size of a snapshot, which contains the whole state.
constexpr std::size_t kMaxLeases = 256;
constexpr std::size_t kMaxWaiters = 4096;  // per lease; enough for each member of a large cluster
constexpr std::size_t kMaxNameBytes = 100;
constexpr std::size_t kMaxPastHoldings = 32;    // per lease; past holdings are only displayed
constexpr std::size_t kMaxRaisedAlarms = 4096;  // per lease
constexpr std::size_t kMaxDocumentBytes = 1 << 20;

// The period for which one member holds a lease. Times are Unix time.
struct Holding {
    FencingToken token;
    Member holder;
    double started_at = 0;
    double ended_at = 0;
    HoldingEnd end = HoldingEnd::held;
    bool operator==(const Holding&) const = default;
};
struct Lease {
    Holding now;                 // the current holding; its token is 0 if nobody holds the lease
    bool withdrawn = false;      // an operator has revoked the lease, so it is not renewed any more
    std::deque<Member> waiting;  // the queue; the first member gets the lease next
    std::deque<Holding> past;    // the most recent past holdings, oldest first
    bool operator==(const Lease&) const = default;
};
// An alarm that the holder of a lease has raised for the whole cluster.
struct RaisedAlarm {
    FencingToken token;
    double since = 0;  // Unix time
    std::string text;
    bool operator==(const RaisedAlarm&) const = default;
};

// Data that the holder of a lease publishes to all members. It is numbered, so that a holder can't
// overwrite a document that it has not seen.
struct LeaseDocument {
    std::uint64_t number = 0;
    std::string bytes;
    bool operator==(const LeaseDocument&) const = default;
};

// The result of a command of a lease holder.
enum class ChangeResult {
    done,
    // The alarm was raised or cleared already, the document has another number, or a limit is
    // reached.
    unchanged,
    // The token is not the current token of the lease.
    stale_token
};

// Not thread-safe; called from the event loop only.
class LeaseStateMachine {
  public:
    // Grants the lease, or adds the member to the waiters. `at` is the log index of the command; it
    // becomes the fencing token if the command leads to a grant.
    void acquire(FencingToken at, double unix_time, const LeaseName& lease, const Member& member);
    // Ends the holding under `token`, which the holder has released or under which it can no longer
    // act, and grants the lease to the first waiter. `absent` are waiters that have not asked for
    // the lease for too long; they are removed from the queue first.
    void end_holding(FencingToken at, double unix_time, const LeaseName& lease, FencingToken token,
                     HoldingEnd end, const std::vector<Member>& absent);
    // Stops the renewal of the lease. The holder may act until the lease expires.
    void revoke(const LeaseName& lease, FencingToken token);
    void stop_waiting(const LeaseName& lease, const Member& member);
    // Raise and clear alarms on behalf of the holder of the lease under `token`.
    ChangeResult raise_alarm(double unix_time, const LeaseName& lease, FencingToken token,
                             const std::string& key, const std::string& text);
    ChangeResult clear_alarm(const LeaseName& lease, FencingToken token, const std::string& key);
    // Replaces the document number `number` - 1 with this one. Returns ChangeResult::unchanged if
    // the present document has another number, or this one is too long.
    ChangeResult write_document(const LeaseName& lease, FencingToken token, std::uint64_t number,
                                const std::string& bytes);

    const Lease* find(const LeaseName& lease) const;
    const std::map<LeaseName, Lease>& leases() const {
        return leases_;
    }
    using RaisedAlarms = std::map<LeaseName, std::map<std::string, RaisedAlarm>>;
    const RaisedAlarms& raised_alarms() const {
        return raised_alarms_;
    }
    using LeaseDocuments = std::map<LeaseName, LeaseDocument>;
    const LeaseDocuments& documents() const {
        return documents_;
    }
    void restore(std::map<LeaseName, Lease> leases, RaisedAlarms raised, LeaseDocuments documents);
    // A text of the whole state, for model checking.
    std::string fingerprint() const;

  private:
    // Ends the present holding and grants the lease to the first waiter that is not `absent`.
    void end(FencingToken at, double unix_time, const LeaseName& name, Lease& lease,
             HoldingEnd reason, const std::vector<Member>& absent);
    std::map<LeaseName, Lease> leases_;
    RaisedAlarms raised_alarms_;
    LeaseDocuments documents_;
};

}  // namespace tideline::lease
