// Writes the messages that a replica and a client of the effect log send.

#include "replication/message_codec.hpp"
#include "replication/message_fields.hpp"

namespace tideline::replication {
namespace {

wire::HeldAsk& fill_request(wire::Holding& message, wire::HeldAsk::What what, RequestNumber number,
                            const Key& key) {
    wire::HeldAsk& fields = *message.mutable_ask();
    fields.set_what(what);
    fields.set_no(number.value);
    put(key, fields);
    return fields;
}

}  // namespace

void MessageSender::send_record(const Name& to, ShardId shard_id, TableVersion since,
                                MessageNumber number, const Record* record) {
    wire::Holding message;
    wire::HeldCopy& copy = *message.mutable_copy();
    copy.set_slot(shard_id.value);
    copy.set_since(since.value);
    copy.set_no(number.value);
    if (record) {
        put(time(), *record, *copy.mutable_record());
    }
    post(to, message);
}
void MessageSender::acknowledge(const Name& to, MessageNumber number) {
    wire::Holding message;
    message.mutable_copied()->set_no(number.value);
    post(to, message);
}
void MessageSender::send_delay(const Name& to, ShardId shard_id, const Key& key,
                               MessageNumber number, Seconds delay) {
    wire::Holding message;
    wire::HeldDelay& fields = *message.mutable_delay();
    fields.set_slot(shard_id.value);
    put(key, fields);
    fields.set_no(number.value);
    fields.set_delay(delay);
    post(to, message);
}
void MessageSender::refuse(const Name& to, MessageNumber number, TableVersion version) {
    wire::Holding message;
    message.mutable_refused()->set_no(number.value);
    message.mutable_refused()->set_number(version.value);
    post(to, message);
}
void MessageSender::send_digests(const Name& to, ShardId shard_id, TableVersion since,
                                 MessageNumber number, const Digests& digests) {
    wire::Holding message;
    wire::HeldCompare& fields = *message.mutable_compare();
    fields.set_slot(shard_id.value);
    fields.set_since(since.value);
    fields.set_no(number.value);
    for (const std::uint64_t each : digests) {
        fields.add_digests(each);
    }
    post(to, message);
}
void MessageSender::send_differences(const Name& to, MessageNumber number,
                                     const std::vector<std::size_t>& ranges,
                                     const std::vector<KeyVersion>& key_versions) {
    wire::Holding message;
    wire::HeldDiffers& fields = *message.mutable_differs();
    fields.set_no(number.value);
    for (const std::size_t each : ranges) {
        fields.add_ranges(static_cast<std::uint32_t>(each));
    }
    for (const KeyVersion& each : key_versions) {
        wire::HeldStamp& stamp = *fields.add_stamps();
        put(each.key, stamp);
        stamp.set_view(each.version.table_version.value);
        stamp.set_step(each.version.step);
        stamp.set_going(each.expires_soon);
    }
    post(to, message);
}
void MessageSender::reply(const Name& to, RequestNumber number, Reply reply, TableVersion version,
                          const Record* record) {
    wire::Holding message;
    wire::HeldReply& fields = *message.mutable_reply();
    fields.set_no(number.value);
    fields.set_what(static_cast<std::uint32_t>(reply));
    fields.set_number(version.value);
    const bool has_record = reply == Reply::running || reply == Reply::uncertain ||
                            reply == Reply::answered || reply == Reply::record_read;
    if (record && has_record) {
        put(time(), *record, *fields.mutable_record());
    }
    post(to, message);
}
// On the wire this is a try_again reply, because members of earlier versions know it too and resend
// their request after it.
void MessageSender::reply_later(const Name& to, RequestNumber number, TableVersion version) {
    reply(to, number, Reply::try_again, version, nullptr);
}
void MessageSender::send_claim(const Name& primary, RequestNumber number, const Key& key,
                               std::uint64_t content, const AttemptRecord& attempt,
                               std::optional<Version> known_version) {
    wire::Holding message;
    wire::HeldAsk& fields = fill_request(message, wire::HeldAsk::CLAIM, number, key);
    put(time(), attempt, *fields.mutable_its());
    fields.set_content(content);
    fields.set_knows(known_version.has_value());
    if (known_version) {
        fields.set_knows_view(known_version->table_version.value);
        fields.set_knows_step(known_version->step);
    }
    post(primary, message);
}
void MessageSender::send_settle(const Name& primary, RequestNumber number, const Key& key,
                                const AttemptRecord& attempt, const std::string& answer) {
    wire::Holding message;
    wire::HeldAsk& fields = fill_request(message, wire::HeldAsk::SETTLE, number, key);
    put(time(), attempt, *fields.mutable_its());
    fields.set_bytes(answer);
    post(primary, message);
}
void MessageSender::send_bytes(const Name& primary, RequestNumber number, const Key& key,
                               const std::string& bytes) {
    wire::Holding message;
    fill_request(message, wire::HeldAsk::KEEP, number, key).set_bytes(bytes);
    post(primary, message);
}
void MessageSender::send_read(const Name& primary, RequestNumber number, const Key& key) {
    wire::Holding message;
    fill_request(message, wire::HeldAsk::LOOK, number, key);
    post(primary, message);
}

}  // namespace tideline::replication
