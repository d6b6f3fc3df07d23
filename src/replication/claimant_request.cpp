#include "replication/claimant_request.hpp"

#include <utility>

namespace tideline::replication {
namespace {

using Action = RequestDecision::Action;

// Attempts in the record of one key. Attempts known not to have run are removed to make room.
constexpr std::size_t kMaxRecordedAttempts = 32;

RequestDecision reply_with(Reply reply, Record record) {
    return {Action::reply, reply, std::move(record)};
}

RequestDecision confirm(Reply reply, Record record) {
    return {Action::confirm, reply, std::move(record)};
}

RequestDecision write(Reply reply, Record record) {
    return {Action::write, reply, std::move(record)};
}

// Returns null if the record does not contain the request's attempt.
AttemptRecord* find_attempt(const ClaimantRequest& request, Record& record) {
    for (AttemptRecord& attempt : record.attempts) {
        if (attempt.is_attempt_of(request.attempt.owner, request.attempt.number)) {
            return &attempt;
        }
    }
    return nullptr;
}

RequestDecision decide_store_bytes(const ClaimantRequest& request, Record record) {
    if (record.answered && record.answer == request.bytes) {
        return confirm(Reply::stored, std::move(record));
    }
    record.answered = true;
    record.bytes_only = true;
    record.answer = request.bytes;
    return write(Reply::stored, std::move(record));
}

RequestDecision decide_settle(const ClaimantRequest& request, Record record, Seconds now) {
    const AttemptOutcome outcome = request.attempt.outcome;
    AttemptRecord* const own = find_attempt(request, record);
    // An answer is final, even if another outcome arrives later.
    if (record.answered) {
        return reply_with(Reply::stored, std::move(record));
    }
    // An attempt that was never recorded and never ran needs no record.
    if (!own && outcome == AttemptOutcome::not_run) {
        return reply_with(Reply::stored, std::move(record));
    }
    const bool known =
        own != nullptr && (own->outcome == outcome || own->outcome == AttemptOutcome::not_run);
    if (known && outcome != AttemptOutcome::answered) {
        return reply_with(Reply::stored, std::move(record));
    }
    if (own) {
        own->outcome = outcome;
    } else {
        record.attempts.push_back(request.attempt);
        record.attempts.back().sent_at = now;
    }
    if (outcome == AttemptOutcome::answered) {
        record.answered = true;
        record.answer = request.bytes;
    }
    return write(Reply::stored, std::move(record));
}

// Adds the claimed attempt to the record. The claimant knows about the other attempts in it.
RequestDecision grant_claim(const ClaimantRequest& request, Record record) {
    // The attempts of other claimants stay recorded as possibly run: they may still be running, or
    // may start later.
    for (AttemptRecord& attempt : record.attempts) {
        if (attempt.owner != request.attempt.owner &&
            attempt.outcome == AttemptOutcome::in_flight) {
            attempt.outcome = AttemptOutcome::may_have_run;
        }
    }
    if (record.attempts.size() >= kMaxRecordedAttempts) {
        std::erase_if(record.attempts, [](const AttemptRecord& attempt) {
            return attempt.outcome == AttemptOutcome::not_run;
        });
    }
    if (record.attempts.size() >= kMaxRecordedAttempts) {
        return reply_with(Reply::uncertain, std::move(record));
    }
    record.attempts.push_back(request.attempt);
    return write(Reply::granted, std::move(record));
}

// Decides a claim. The content digest of `record` is that of the request.
RequestDecision decide_claim(const ClaimantRequest& request, Record record) {
    if (record.answered) {
        return reply_with(Reply::answered, std::move(record));
    }
    if (const AttemptRecord* const own = find_attempt(request, record); own != nullptr) {
        // A claim that arrives again after its attempt was settled must not make the attempt look
        // as if it were in flight.
        if (own->outcome != AttemptOutcome::in_flight) {
            return reply_with(Reply::try_again, std::move(record));
        }
        return confirm(Reply::granted, std::move(record));
    }
    bool others = false;
    bool others_in_flight = false;
    for (const AttemptRecord& attempt : record.attempts) {
        const bool other =
            attempt.owner != request.attempt.owner && attempt.outcome != AttemptOutcome::not_run;
        others |= other;
        others_in_flight |= other && attempt.outcome == AttemptOutcome::in_flight;
    }
    if (others && request.known_version != record.version) {
        return confirm(others_in_flight ? Reply::running : Reply::uncertain, std::move(record));
    }
    return grant_claim(request, std::move(record));
}

}  // namespace

RequestDecision decide_request(const ClaimantRequest& request, const Record* held,
                               const ShardCondition& shard) {
    Record record;
    if (held) {
        record = *held;
    }
    record.key = request.key;
    if (shard.too_few_replicas && request.kind != ClaimantRequest::Kind::read) {
        return reply_with(Reply::try_again, std::move(record));
    }
    switch (request.kind) {
        case ClaimantRequest::Kind::read:
            return confirm(Reply::record_read, std::move(record));
        case ClaimantRequest::Kind::store_bytes:
            return decide_store_bytes(request, std::move(record));
        case ClaimantRequest::Kind::settle:
            return decide_settle(request, std::move(record), shard.now);
        case ClaimantRequest::Kind::claim:
            break;
    }
    if (held && record.content != request.content) {
        return reply_with(Reply::key_conflict, std::move(record));
    }
    record.content = request.content;
    if (!held && shard.data_lost) {
        return reply_with(Reply::data_lost, std::move(record));
    }
    return decide_claim(request, std::move(record));
}

}  // namespace tideline::replication
