// A sidecar's side of the effect log. Before an attempt goes out that may not run twice, it is
// claimed at the primary of its key; its outcome is reported there; a client's repeat gets the
// stored answer. Where an attempt goes is decided by the routing policy: this only knows of the
// attempts of others. One thread; no I/O, no clock.
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

// A request that may not run twice.
struct GuardedRequest {
    RequestId request;
    Key key;
    // Digest of its content, beyond the key.
    std::uint64_t content = 0;
    // Endpoints recognize repeats by its fingerprint; otherwise no attempt may follow one that may
    // have run.
    bool idempotent = false;
    Seconds deadline = 0;
};

// Whether an attempt that ended like this has run.
AttemptOutcome attempt_outcome_of(Outcome outcome);

// Decides for each attempt whether it may go out. Times are in seconds.
class EffectLogClient {
  public:
    // `host` outlives this.
    EffectLogClient(EffectLogClientHost& host, const EffectLogClientSettings& settings,
                    const Name& self, const Incarnation& incarnation, Seconds now);
    // A copy for another simulated world.
    EffectLogClient(const EffectLogClient& other, EffectLogClientHost& host);
    EffectLogClient(const EffectLogClient&) = default;
    ~EffectLogClient() = default;
    EffectLogClient& operator=(const EffectLogClient&) = delete;

    // Ignores a table that is not newer than the known one.
    void apply_table(Seconds now, const ReplicaTable& table);
    // Presence of a member, from gossip.
    void update_member(Seconds now, const Name& name, const Incarnation& incarnation, bool gone);
    // The policy has chosen an endpoint. Answered by on_cleared, on_rejected or on_deferred.
    void before_attempt(Seconds now, const GuardedRequest& guarded, AttemptNumber number,
                        Location location, Cell cell);
    // An attempt that was cleared has ended.
    void attempt_ended(Seconds now, RequestId request, AttemptNumber number, AttemptOutcome outcome,
                       const std::string& answer);
    // The client has its answer, or has gone.
    void request_ended(Seconds now, RequestId request);
    // Sends until all replicas have it.
    void store_bytes(Seconds now, const Key& key, const std::string& bytes);
    // Answered by on_record_read.
    void read(Seconds now, const Key& key);
    // Times of `record` are on the clock of this member, counted from its arrival. `version`: of
    // the primary's table.
    void on_reply(Seconds now, RequestNumber number, Reply reply, TableVersion version,
                  const Record* record);
    // To be called at due().
    void tick(Seconds now);
    // Infinite while nothing waits.
    Seconds due() const;

    // Primaries that do not answer, for the report to the repair coordinator.
    std::set<Name> silent_primaries(Seconds now) const;
    // Attempts whose claim was granted.
    std::uint64_t granted() const {
        return granted_;
    }
    // Attempts that went out without replicas, as the settings allow.
    std::uint64_t unreplicated() const {
        return unreplicated_;
    }
    // Requests that were rejected, because they were not replicated in time.
    std::uint64_t rejected() const {
        return rejected_;
    }
    // Requests that were answered with a stored answer.
    std::uint64_t deduplicated() const {
        return deduplicated_;
    }
    std::size_t pending_notifications() const {
        return notifications_.count();
    }
    // Digest of the state, for the model checker: worlds with equal texts behave alike.
    std::string state() const;

  private:
    // claiming: an attempt waits for its claim. in_flight: nothing is asked; attempts are out, or
    // the policy chooses again. polling: an attempt of another is waited for.
    enum class Phase { claiming, routing, polling };
    struct OpenRequest {
        GuardedRequest guarded;
        Phase phase = Phase::claiming;
        // The newest attempt, and its number in the policy.
        AttemptRecord attempt;
        AttemptNumber policy_attempt_number;
        // Number of the next attempt in the effect log: never used twice by one request.
        int next_attempt_number = 0;
        // Attempts that went out and have not ended.
        std::map<AttemptNumber, AttemptRecord> sent_attempts;
        // Version of the record by which this knows of the attempts of others.
        std::optional<Version> known_version;
        // Since when the newest attempt is claimed.
        Seconds claimed_at = 0;
        Seconds resend_at = 0;
        // Of the request to a primary that was sent last; 0: none.
        RequestNumber last_request_number;
        // Those in `sent_requests_` that are of this request.
        std::vector<RequestNumber> sent_request_numbers;
    };
    // A claim or read that may still be answered: sent again, an earlier sending still counts.
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
    // Each is of a request in `open_requests_`, of its newest attempt and its present phase.
    std::map<RequestNumber, SentRequest> sent_requests_;
    PrimaryRequests primary_requests_;
    OwnerLiveness owner_liveness_;
    Notifications notifications_;
    std::uint64_t granted_ = 0;
    std::uint64_t unreplicated_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t deduplicated_ = 0;
    // Each once, until a claim is granted again.
    bool alarm_raised_ = false;
    bool lost_data_alarm_raised_ = false;
};

}  // namespace tideline::replication
