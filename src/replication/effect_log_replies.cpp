// EffectLogClient: handles the replies of primaries.

#include <utility>
#include <vector>

#include "replication/effect_log_client.hpp"

namespace tideline::replication {

void EffectLogClient::on_reply(Seconds now, RequestNumber number, Reply reply, TableVersion version,
                               const Record* record) {
    if (version > primary_requests_.table_version()) {
        host_->request_table(version);
    }
    if (notifications_.on_reply(number, reply, record, primary_requests_, *host_)) {
        return;
    }
    const auto sent = sent_requests_.find(number);
    if (sent == sent_requests_.end()) {
        return;
    }
    const auto found = open_requests_.find(sent->second.request);
    if (found == open_requests_.end()) {
        return;
    }
    OpenRequest& open = found->second;
    primary_requests_.on_reply(open.guarded.key);
    if (reply == Reply::try_again) {
        return;  // a later reply to the same message still counts
    }
    const Seconds request_sent_at = sent->second.sent_at;
    sent_requests_.erase(sent);
    if (open.phase == Phase::claiming) {
        return on_claim_reply(now, open, reply, record, request_sent_at);
    }
    if (open.phase == Phase::polling && reply == Reply::record_read) {
        open.resend_at = now + settings_.poll_interval;
        apply_record(now, open, record, request_sent_at);
    }
}

// Handles the reply to a claim. After a reply without a case of its own the claim is resent when it
// is due.
void EffectLogClient::on_claim_reply(Seconds now, OpenRequest& open, Reply reply,
                                     const Record* record, Seconds request_sent_at) {
    const RequestId request = open.guarded.request;
    switch (reply) {
        case Reply::granted:
            // If this sidecar was suspended in the meantime, the others consider it dead, and may
            // already have sent the same request.
            if (now >= open.claimed_at + settings_.claim_timeout) {
                return fail_claim(now, open);
            }
            forget_sent_requests(open);
            ++granted_;
            alarm_raised_ = false;
            lost_data_alarm_raised_ = false;
            open.phase = Phase::routing;
            open.sent_attempts[open.policy_attempt_number] = open.attempt;
            return host_->on_cleared(request, open.policy_attempt_number);
        case Reply::answered:
        case Reply::running:
        case Reply::uncertain:
            forget_sent_requests(open);
            open.phase = Phase::polling;
            open.resend_at = now + settings_.poll_interval;
            host_->on_deferred(request);
            return apply_record(now, open, record, request_sent_at);
        case Reply::data_lost:
            return fail_for_lost_data(now, open);
        case Reply::key_conflict:
            forget_sent_requests(open);
            withdraw_claim(now, open);
            open_requests_.erase(request);
            host_->on_deferred(request);
            return host_->on_effect_unknown(request);
        default:
            return;
    }
}

// Decides a deferred request by the record of its key: answers it, keeps it waiting while an
// attempt of another claimant is in flight, or returns it to the policy.
void EffectLogClient::apply_record(Seconds now, OpenRequest& open, const Record* record,
                                   Seconds request_sent_at) {
    const RequestId request = open.guarded.request;
    if (record && record->answered) {
        ++deduplicated_;
        const std::string answer = record->answer;
        forget_sent_requests(open);
        withdraw_claim(now, open);
        open_requests_.erase(request);
        return host_->on_answer_found(request, answer);
    }
    std::vector<AttemptRecord> earlier;
    bool running = false;
    if (record) {
        for (const AttemptRecord& attempt : record->attempts) {
            if (attempt.owner == open.attempt.owner || attempt.outcome == AttemptOutcome::not_run) {
                continue;
            }
            running |= attempt.outcome == AttemptOutcome::in_flight &&
                       !owner_liveness_.is_dead(now, attempt.owner);
            earlier.push_back(attempt);
            // The primary counted the age up to its reply, which was sent no earlier than the
            // request for it.
            earlier.back().sent_at -= now - request_sent_at;
        }
    }
    if (running) {
        return;
    }
    forget_sent_requests(open);
    withdraw_claim(now, open);
    if (!earlier.empty() && !open.guarded.idempotent) {
        open_requests_.erase(request);
        return host_->on_effect_unknown(request);
    }
    open.known_version.reset();
    if (!earlier.empty()) {
        open.known_version = record->version;
    }
    open.phase = Phase::routing;  // until the policy has chosen an endpoint again
    host_->on_returned_to_policy(request, earlier);
}

}  // namespace tideline::replication
