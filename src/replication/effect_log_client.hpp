// A sidecar's client of the effect log, which prevents a request from taking effect twice. Before
// an attempt is sent that must not run twice, it is claimed at the primary of its key. The outcome
// of the attempt is reported there, and a repeat by the client gets the stored answer. The routing
// policy chooses the endpoints; this class only knows the attempts of other sidecars. It is
// single-threaded and neither does I/O nor reads a clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "replication/effect_log_client_host.hpp"
#include "replication/effect_log_settings.hpp"
#include "replication/notifications.hpp"
#include "replication/owner_liveness.hpp"
#include "replication/primary_requests.hpp"
#include "replication/replica.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// A request that must not take effect twice.
struct GuardedRequest {
    RequestId request;
    Key key;
    // Digest of the request's content; two requests with the same key may differ in it.
    std::uint64_t content = 0;
    // If true, endpoints recognize repeats by the fingerprint of the request. Otherwise no attempt
    // may follow one that may have run.
    bool idempotent = false;
    Seconds deadline = 0;
};

// Returns whether an attempt with this outcome has run.
AttemptOutcome attempt_outcome_of(Outcome outcome);

// Decides for each attempt whether it may be sent. Times are in seconds.
class EffectLogClient {
  public:
    // `host` has to outlive the client.
    EffectLogClient(EffectLogClientHost& host, const EffectLogClientSettings& settings,
                    const Name& self, const Incarnation& incarnation, Seconds now);
    // Copies a client into another simulated world.
    EffectLogClient(const EffectLogClient& other, EffectLogClientHost& host);
    EffectLogClient(const EffectLogClient&) = default;
    ~EffectLogClient() = default;
    EffectLogClient& operator=(const EffectLogClient&) = delete;

    // Ignores a table that is not newer than the known one.
    void apply_table(Seconds now, const ReplicaTable& table);
    // Updates the presence of a member, as known from gossip.
    void update_member(Seconds now, const Name& name, const Incarnation& incarnation, bool gone);
    // The policy has chosen an endpoint for an attempt. The client decides by on_cleared,
    // on_rejected or on_deferred.
    void before_attempt(Seconds now, const GuardedRequest& guarded, AttemptNumber number,
                        Location location, Cell cell);
    // An attempt that was cleared for sending has ended.
    void attempt_ended(Seconds now, RequestId request, AttemptNumber number, AttemptOutcome outcome,
                       const std::string& answer);
    // The request's client has its answer or has disconnected.
    void request_ended(Seconds now, RequestId request);
    // Sends the bytes to the primary until it confirms that all replicas have stored them, or until
    // the notification timeout.
    void store_bytes(Seconds now, const Key& key, const std::string& bytes);
    // Reads the record of a key; the result is passed to on_record_read.
    void read(Seconds now, const Key& key);
    // Times in `record` are on this member's clock, counted from the arrival of the reply.
    // `version` is the version of the primary's table.
    void on_reply(Seconds now, RequestNumber number, Reply reply, TableVersion version,
                  const Record* record);
    // The owner calls this at the time that due() returns.
    void tick(Seconds now);
    // Time of the next call of tick(); infinite while nothing is pending.
    Seconds due() const;

    // Primaries that do not answer, for the report to the repair coordinator.
    std::set<Name> silent_primaries(Seconds now) const;
    // Number of attempts whose claim was granted.
    std::uint64_t granted() const {
        return granted_;
    }
    // Number of attempts that were sent without being replicated, as the settings allow.
    std::uint64_t unreplicated() const {
        return unreplicated_;
    }
    // Number of requests that were rejected, because their attempt was not replicated in time or
    // because all replicas were lost.
    std::uint64_t rejected() const {
        return rejected_;
    }
    // Number of requests that were answered with a stored answer.
    std::uint64_t deduplicated() const {
        return deduplicated_;
    }
    std::size_t pending_notifications() const {
        return notifications_.count();
    }
    // Digest of the state for the model checker: worlds with equal texts behave alike.
    std::string state() const;

  private:
    // claiming: an attempt waits for its claim. routing: no message to a primary is pending;
    // attempts are in flight, or the policy chooses the next endpoint. polling: the request waits
    // for the attempt of another claimant, whose record is read repeatedly.
    enum class Phase { claiming, routing, polling };
    struct OpenRequest {
        GuardedRequest guarded;
        Phase phase = Phase::claiming;
        // The newest attempt, and the number by which the policy knows it.
        AttemptRecord attempt;
        AttemptNumber policy_attempt_number;
        // Number of the next attempt in the effect log. A request never uses a number twice.
        int next_attempt_number = 0;
        // Attempts that were sent and have not ended.
        std::map<AttemptNumber, AttemptRecord> sent_attempts;
        // Version of the record from which this client knows about the attempts of other claimants.
        std::optional<Version> known_version;
        // When the claim of the newest attempt began.
        Seconds claimed_at = 0;
        Seconds resend_at = 0;
        // Number of the last request to a primary; 0: none.
        RequestNumber last_request_number;
        // Numbers of the entries in `sent_requests_` that belong to this request.
        std::vector<RequestNumber> sent_request_numbers;
    };
    // A claim or a read whose reply still counts. After a resend, a reply to an earlier send counts
    // too.
    struct SentRequest {
        RequestId request;
        Seconds sent_at = 0;
    };

    void send_to_primary(Seconds now, OpenRequest& open);
    void expire_or_resend_request(Seconds now, OpenRequest& open);
    void fail_claim(Seconds now, OpenRequest& open);
    void fail_for_lost_data(Seconds now, OpenRequest& open);
    void reject_request(Seconds now, OpenRequest& open);
    void withdraw_claim(Seconds now, const OpenRequest& open);
    void forget_sent_requests(OpenRequest& open);
    void on_claim_reply(Seconds now, OpenRequest& open, Reply reply, const Record* record,
                        Seconds request_sent_at);
    void apply_record(Seconds now, OpenRequest& open, const Record* record,
                      Seconds request_sent_at);

    EffectLogClientHost* host_;
    EffectLogClientSettings settings_;
    Name self_;
    Incarnation incarnation_;
    // Requests that have not ended.
    std::map<RequestId, OpenRequest> open_requests_;
    // Each entry belongs to a request in `open_requests_`, to its newest attempt and its present
    // phase.
    std::map<RequestNumber, SentRequest> sent_requests_;
    PrimaryRequests primary_requests_;
    OwnerLiveness owner_liveness_;
    Notifications notifications_;
    std::uint64_t granted_ = 0;
    std::uint64_t unreplicated_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t deduplicated_ = 0;
    // Each alarm is raised once, until a claim is granted again.
    bool alarm_raised_ = false;
    bool lost_data_alarm_raised_ = false;
};

}  // namespace tideline::replication
