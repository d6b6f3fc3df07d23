// Interface through which the client of the effect log acts on its environment.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "replication/types.hpp"

namespace tideline::replication {

// Implemented by the owner of the client. The calls never call back into the client.
class EffectLogClientHost {
  public:
    virtual ~EffectLogClientHost() = default;
    // These calls send requests to the primary of a key; see Replica.
    virtual void send_claim(const Name& primary, RequestNumber number, const Key& key,
                            std::uint64_t content, const AttemptRecord& attempt,
                            std::optional<Version> known_version) = 0;
    virtual void send_settle(const Name& primary, RequestNumber number, const Key& key,
                             const AttemptRecord& attempt, const std::string& answer) = 0;
    virtual void send_bytes(const Name& primary, RequestNumber number, const Key& key,
                            const std::string& bytes) = 0;
    virtual void send_read(const Name& primary, RequestNumber number, const Key& key) = 0;
    // Asks the planners for a table whose version is at least `least`.
    virtual void request_table(TableVersion least) = 0;
    // The next three calls decide about an attempt that was passed to before_attempt.
    //
    // The attempt may be sent.
    virtual void on_cleared(RequestId request, AttemptNumber number) = 0;
    // The attempt was not replicated in time, or all replicas were lost. It was not sent, and the
    // request is rejected.
    virtual void on_rejected(RequestId request, Seconds retry_after) = 0;
    // The attempt was not sent: the request waits for the attempt of another claimant.
    virtual void on_deferred(RequestId request) = 0;
    // The next three calls decide about a waiting request.
    //
    // The request has run before, with this answer.
    virtual void on_answer_found(RequestId request, const std::string& answer) = 0;
    // The request has to be routed again, taking these earlier attempts into account.
    virtual void on_returned_to_policy(RequestId request,
                                       const std::vector<AttemptRecord>& earlier) = 0;
    // The request may have run, and it can't be determined whether it has.
    virtual void on_effect_unknown(RequestId request) = 0;
    // Result of EffectLogClient::read. `record` is null if there is no record.
    virtual void on_record_read(const Key& key, const Record* record) = 0;
    virtual void on_alarm(const std::string& text) = 0;
};

}  // namespace tideline::replication
