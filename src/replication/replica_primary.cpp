// Replica as the primary of a shard: handles the requests of claimants, one write per key at a
// time. The rules that decide a request are in claimant_request.cpp.

#include <utility>

#include "replication/replica.hpp"

namespace tideline::replication {
namespace {

// Requests queued on one key. Further requests are answered with try_again.
constexpr std::size_t kMaxQueuedRequests = 256;

ClaimantRequest make_request(ClaimantRequest::Kind kind, const Name& from, RequestNumber number,
                             const Key& key) {
    ClaimantRequest request;
    request.kind = kind;
    request.from = from;
    request.number = number;
    request.key = key;
    return request;
}

}  // namespace

void Replica::claim(Seconds now, const Name& from, RequestNumber number, const Key& key,
                    std::uint64_t content, const AttemptRecord& attempt,
                    std::optional<Version> known_version) {
    ClaimantRequest request = make_request(ClaimantRequest::Kind::claim, from, number, key);
    request.attempt = attempt;
    // The attempt is sent only after the claim is granted, so not before now.
    request.attempt.sent_at = now;
    request.attempt.outcome = AttemptOutcome::in_flight;
    request.known_version = known_version;
    request.content = content;
    handle_request(now, std::move(request));
}

void Replica::settle(Seconds now, const Name& from, RequestNumber number, const Key& key,
                     const AttemptRecord& attempt, const std::string& answer) {
    ClaimantRequest request = make_request(ClaimantRequest::Kind::settle, from, number, key);
    request.attempt = attempt;
    request.bytes = answer;
    handle_request(now, std::move(request));
}

void Replica::store_bytes(Seconds now, const Name& from, RequestNumber number, const Key& key,
                          const std::string& bytes) {
    ClaimantRequest request = make_request(ClaimantRequest::Kind::store_bytes, from, number, key);
    request.bytes = bytes;
    handle_request(now, std::move(request));
}

void Replica::read(Seconds now, const Name& from, RequestNumber number, const Key& key) {
    handle_request(now, make_request(ClaimantRequest::Kind::read, from, number, key));
}

// Serves a request at once, or queues it behind the operation in progress on its key.
void Replica::handle_request(Seconds now, ClaimantRequest request) {
    const auto reply_with = [&](Reply reply) {
        host_->reply(request.from, request.number, reply, table_.version, nullptr);
    };
    if (table_.shards.empty()) {
        return reply_with(Reply::try_again);
    }
    const ShardId shard_id = table_.shard_of(request.key);
    const auto it = shards_.find(shard_id);
    if (it == shards_.end() || !it->second.has_primary(self_)) {
        return reply_with(Reply::not_primary);
    }
    Shard& shard = it->second;
    if (!shard.open) {
        return reply_with(Reply::try_again);
    }
    if (!shard.active_operations.contains(request.key)) {
        return serve_request(now, shard_id, shard, request);
    }
    auto& queue = shard.queued_requests[request.key];
    if (queue.size() >= kMaxQueuedRequests) {
        return reply_with(Reply::try_again);
    }
    queue.push_back(std::move(request));
}

// Serves a request. No operation may be in progress on its key.
void Replica::serve_request(Seconds now, ShardId shard_id, Shard& shard,
                            const ClaimantRequest& request) {
    const auto held = shard.records.find(request.key);
    ShardCondition condition;
    condition.now = now;
    condition.too_few_replicas = shard.replica_set.replicas.size() < table_.min_replicas;
    condition.data_lost = now < shard.data_lost_until;
    RequestDecision decision =
        decide_request(request, held == shard.records.end() ? nullptr : &held->second, condition);
    switch (decision.action) {
        case RequestDecision::Action::reply:
            return host_->reply(request.from, request.number, decision.reply, table_.version,
                                &decision.record);
        case RequestDecision::Action::confirm:
            return confirm_record(now, shard_id, shard, request, decision.reply);
        case RequestDecision::Action::write:
            return write(now, shard_id, shard, std::move(decision.record),
                         ReplyTarget{request.from, request.number}, decision.reply);
    }
}

// Serves the requests queued on the key until one of them begins an operation.
void Replica::serve_queued_requests(Seconds now, ShardId shard_id, const Key& key) {
    while (true) {
        const auto shard = shards_.find(shard_id);
        if (shard == shards_.end() || shard->second.active_operations.contains(key)) {
            return;
        }
        const auto queue = shard->second.queued_requests.find(key);
        if (queue == shard->second.queued_requests.end()) {
            return;
        }
        const ClaimantRequest next = queue->second.front();
        queue->second.pop_front();
        if (queue->second.empty()) {
            shard->second.queued_requests.erase(queue);
        }
        if (shard->second.open) {
            serve_request(now, shard_id, shard->second, next);
        } else {
            host_->reply(next.from, next.number, Reply::try_again, table_.version, nullptr);
        }
    }
}

}  // namespace tideline::replication
