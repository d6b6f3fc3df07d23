#include "cluster/message_receiver.hpp"

#include "cluster/message_codec.hpp"
#include "net/check_invariant.hpp"

namespace tideline::cluster {

using audit::ContentVersion;

bool MessageReceiver::receive(LinkId link, const wire::Word& message) {
    if (message.has_ask_fleet()) {
        queries_.answer_query(link, message.ask_fleet().audit());
        return false;
    }
    if (message.has_ask_holdings()) {
        answer_replication_query(link, message.ask_holdings());
        return false;
    }
    const Entry from = entry_from(message.from().self());
    if (from.name.value.empty() || from.name == membership_.self().name) {
        return false;
    }
    if (!connections_.assign_member(link, from.name, from.address)) {
        log_.line("message rejected: claimed_sender={} reason=other_host", from.name.value);
        return false;
    }
    // The membership comes first: it must know the sender before any other component refers to it.
    const Seconds now = net::clock_now();
    dispatch_to_membership(now, from, message);
    handle_sender(now, from, message.from());
    dispatch_audit_message(now, from, message);
    dispatch_task_message(from, message);
    return true;
}

void MessageReceiver::dispatch_to_membership(Seconds now, const Entry& from,
                                             const wire::Word& message) {
    switch (message.what_case()) {
        case wire::Word::kPing:
            membership_.ping_received(now, from, PingId{message.ping().no()},
                                      gossip_from(message.ping().gossip()));
            break;
        case wire::Word::kAskPing:
            membership_.indirect_ping_requested(now, from, PingId{message.ask_ping().no()},
                                                Name{message.ask_ping().target()},
                                                gossip_from(message.ask_ping().gossip()));
            break;
        case wire::Word::kAnswer:
            membership_.answered(now, from, PingId{message.answer().no()},
                                 gossip_from(message.answer().gossip()));
            break;
        case wire::Word::kNoAnswer:
            membership_.no_answer_reported(now, from, PingId{message.no_answer().no()});
            break;
        case wire::Word::kKnock:
            membership_.table_requested(now, from);
            break;
        case wire::Word::kTable:
            membership_.table_received(now, from, gossip_from(message.table().part()),
                                       message.table().wants_back());
            break;
        default:
            break;
    }
}

void MessageReceiver::answer_replication_query(LinkId link, const wire::AskHoldings& query) {
    if (replication_) {
        return replication_->answer_query(link, query);
    }
    wire::Holdings none;
    none.set_asked(membership_.self().name.value);
    none.set_why("replication is off at this member: its operator file has no group copies");
    messenger_.reply_replication_status(link, none);
}

void MessageReceiver::handle_sender(Seconds now, const Entry& from, const wire::From& sender) {
    queries_.member_heard(now, from.name);
    version_audit_.on_peer_version(now, from.name, from.incarnation,
                                   content_version_from(sender.list()),
                                   content_version_from(sender.news()));
    const std::string fault =
        heads_.observe_seal(from.name, from.incarnation, sender.head_number(), sender.head());
    if (!fault.empty()) {
        log_.alarm("audit record fault: member={} fault='{}'", from.name.value, fault);
    }
}

void MessageReceiver::dispatch_audit_message(Seconds now, const Entry& from,
                                             const wire::Word& message) {
    switch (message.what_case()) {
        case wire::Word::kWant:
            if (is_version_part(message.want().subject())) {
                messenger_.transfer_state(from.name, version_part_from(message.want().subject()));
            }
            break;
        case wire::Word::kHandOver:
            handle_transfer(from.name, message.hand_over());
            break;
        case wire::Word::kAskVouch:
            handle_confirmation_request(from.name, message.ask_vouch());
            break;
        case wire::Word::kVouch:
            version_audit_.confirmation_received(
                now, from.name, version_part_from(message.vouch().subject()),
                content_version_from(message.vouch().mark()), message.vouch().yes());
            break;
        case wire::Word::kRefusal:
            version_audit_.on_refusal(now, from.name);
            break;
        case wire::Word::kAskRecord:
            messenger_.send_record(from.name, message.ask_record().no());
            break;
        case wire::Word::kRecord:
            queries_.record_received(from.name, message.record());
            break;
        default:
            break;
    }
}

void MessageReceiver::handle_confirmation_request(const Name& by, const wire::AskVouch& request) {
    const ContentVersion version = content_version_from(request.mark());
    const bool confirmed = version_audit_.confirms(version_part_from(request.subject()), version);
    messenger_.confirm(by, request.subject(), version, confirmed);
}

void MessageReceiver::dispatch_task_message(const Entry& from, const wire::Word& message) {
    switch (message.what_case()) {
        case wire::Word::kHolding:
            if (replication_) {
                replication_->receive(from.name, from.incarnation, message.holding());
            }
            break;
        case wire::Word::kPaces:
            if (leased_tasks_ &&
                leased_tasks_->receive_slow_start_limits(from.name, message.paces())) {
                messenger_.report_recent_attempts(from.name, leased_tasks_->recent_attempts());
            }
            break;
        case wire::Word::kSentOfLate:
            if (leased_tasks_) {
                leased_tasks_->receive_recent_attempts(from.name,
                                                       message.sent_of_late().in_window());
            }
            break;
        default:
            break;
    }
}

void MessageReceiver::handle_transfer(const Name& by, const wire::HandOver& transfer) {
    switch (transfers_.receive(transfer)) {
        case TransferCheck::malformed:
            return;
        case TransferCheck::wrong_digest:
            return log_.alarm("state transfer rejected: from={} reason=wrong_digest", by.value);
        case TransferCheck::valid:
            break;
    }
    version_audit_.transfer_received(net::clock_now(), by, version_part_from(transfer.subject()),
                                     content_version_from(transfer.mark()));
}

}  // namespace tideline::cluster
