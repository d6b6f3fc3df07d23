// A request of a claimant to the primary of its key, and the rules by which the primary decides it.
// A claimant is a sidecar that asks to send an attempt at a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "replication/replica_host.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

struct ClaimantRequest {
    enum class Kind { claim, settle, store_bytes, read };
    Kind kind = Kind::read;
    Name from;
    RequestNumber number;
    Key key;
    // claim, settle: the attempt and its outcome.
    AttemptRecord attempt;
    // claim: digest of the request's content.
    std::uint64_t content = 0;
    // claim: version of the record from which the claimant knows about the attempts of other
    // claimants.
    std::optional<Version> known_version;
    // settle: the endpoint's answer. store_bytes: the bytes to store.
    std::string bytes;
};

// State of the shard that a decision depends on, besides the record.
struct ShardCondition {
    Seconds now = 0;
    // There are fewer replicas than the minimum, so the loss of one more could lose acknowledged
    // writes.
    bool too_few_replicas = false;
    // All replicas were lost, and records from before the loss could still be alive.
    bool data_lost = false;
};

// How the primary handles a request.
struct RequestDecision {
    enum class Action {
        reply,  // replies at once with `record`
        // Replies with the unchanged record once all replicas have confirmed this primary.
        confirm,
        write,  // stores `record` and replies once all replicas have it
    };
    Action action = Action::reply;
    Reply reply = Reply::try_again;
    Record record;
};

// Decides a request. `held` is the record of its key, or null. This is a pure function.
RequestDecision decide_request(const ClaimantRequest& request, const Record* held,
                               const ShardCondition& shard);

}  // namespace tideline::replication
