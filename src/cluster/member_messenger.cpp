#include "cluster/member_messenger.hpp"

#include "cluster/message_codec.hpp"
#include "cluster/state_transfer.hpp"

namespace tideline::cluster {

using audit::ContentVersion;
using audit::VersionPart;

wire::Word MemberMessenger::new_message() const {
    wire::Word message;
    wire::From& from = *message.mutable_from();
    put(membership_.self(), *from.mutable_self());
    put(state_.version(VersionPart::list), *from.mutable_list());
    put(state_.version(VersionPart::release), *from.mutable_news());
    from.set_head_number(audit_log_.head_number());
    from.set_head(audit_log_.head());
    return message;
}

void MemberMessenger::send(const Name& to, const wire::Word& message) {
    const auto entry = membership_.find(to);
    if (entry && to != membership_.self().name) {
        connections_.send(to, entry->address, message);
    }
}

// --- Membership
void MemberMessenger::ping(const Name& to, PingId id, const Gossip& gossip) {
    wire::Word message = new_message();
    message.mutable_ping()->set_no(id.value);
    put(gossip, *message.mutable_ping()->mutable_gossip());
    send(to, message);
}

void MemberMessenger::request_indirect_ping(const Name& helper, PingId id, const Name& target,
                                            const Gossip& gossip) {
    wire::Word message = new_message();
    message.mutable_ask_ping()->set_no(id.value);
    message.mutable_ask_ping()->set_target(target.value);
    put(gossip, *message.mutable_ask_ping()->mutable_gossip());
    send(helper, message);
}

void MemberMessenger::acknowledge(const Name& to, PingId id, const Gossip& gossip) {
    wire::Word message = new_message();
    message.mutable_answer()->set_no(id.value);
    put(gossip, *message.mutable_answer()->mutable_gossip());
    send(to, message);
}

void MemberMessenger::report_no_answer(const Name& to, PingId id) {
    wire::Word message = new_message();
    message.mutable_no_answer()->set_no(id.value);
    send(to, message);
}

void MemberMessenger::request_member_table(const std::string& address) {
    wire::Word message = new_message();
    message.mutable_knock();
    connections_.send(address, message);
}

void MemberMessenger::send_member_table(const Name& to, const Gossip& part, bool wants_reply) {
    wire::Word message = new_message();
    put(part, *message.mutable_table()->mutable_part());
    message.mutable_table()->set_wants_back(wants_reply);
    send(to, message);
}

// --- Version audit and audit log
void MemberMessenger::request_state(const Name& from, VersionPart part) {
    wire::Word message = new_message();
    message.mutable_want()->set_subject(wire_number_of(part));
    send(from, message);
}

void MemberMessenger::transfer_state(const Name& to, VersionPart part) {
    wire::Word message = new_message();
    *message.mutable_hand_over() = transfer_of(state_, part);
    send(to, message);
}

void MemberMessenger::request_confirmation(const Name& of, VersionPart part,
                                           const ContentVersion& version) {
    wire::Word message = new_message();
    message.mutable_ask_vouch()->set_subject(wire_number_of(part));
    put(version, *message.mutable_ask_vouch()->mutable_mark());
    send(of, message);
}

void MemberMessenger::confirm(const Name& to, std::uint32_t wire_part,
                              const ContentVersion& version, bool confirmed) {
    wire::Word message = new_message();
    wire::Vouch& vouch = *message.mutable_vouch();
    vouch.set_subject(wire_part);
    put(version, *vouch.mutable_mark());
    vouch.set_yes(confirmed);
    send(to, message);
}

void MemberMessenger::send_refusal(const Name& name) {
    wire::Word message = new_message();
    message.mutable_refusal();
    send(name, message);
}

void MemberMessenger::request_record(const Name& of, std::uint64_t query) {
    wire::Word message = new_message();
    message.mutable_ask_record()->set_no(query);
    send(of, message);
}

void MemberMessenger::send_record(const Name& to, std::uint64_t query) {
    wire::Word message = new_message();
    put(audit_log_.record(), *message.mutable_record());
    message.mutable_record()->set_no(query);
    send(to, message);
}

// --- Leased tasks and replication
void MemberMessenger::send_slow_start_limits(const Name& to, const wire::Paces& limits) {
    wire::Word message = new_message();
    *message.mutable_paces() = limits;
    send(to, message);
}

void MemberMessenger::report_recent_attempts(const Name& to, double attempts) {
    wire::Word message = new_message();
    message.mutable_sent_of_late()->set_in_window(attempts);
    send(to, message);
}

void MemberMessenger::send_replication(const Name& to, const wire::Holding& holding) {
    wire::Word message = new_message();
    *message.mutable_holding() = holding;
    send(to, message);
}

void MemberMessenger::reply_replication_status(LinkId link, const wire::Holdings& status) {
    wire::Word message;
    *message.mutable_holdings() = status;
    reply(link, message);
}

}  // namespace tideline::cluster
