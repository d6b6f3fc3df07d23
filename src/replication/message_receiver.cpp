// Converts the messages of other members to calls of the replica or of the client of the effect
// log.

#include <algorithm>

#include "replication/message_codec.hpp"
#include "replication/message_fields.hpp"

namespace tideline::replication {
namespace {

void receive_request(Seconds now, const Name& from, const wire::HeldAsk& request,
                     Replica& replica) {
    const RequestNumber number{request.no()};
    const Key key = key_from(request);
    const AttemptRecord attempt = attempt_from(now, request.its());
    std::optional<Version> known_version;
    if (request.knows()) {
        known_version = Version{TableVersion{request.knows_view()}, request.knows_step()};
    }
    if (request.what() == wire::HeldAsk::CLAIM) {
        return replica.claim(now, from, number, key, request.content(), attempt, known_version);
    }
    if (request.what() == wire::HeldAsk::SETTLE) {
        return replica.settle(now, from, number, key, attempt, request.bytes());
    }
    if (request.what() == wire::HeldAsk::KEEP) {
        return replica.store_bytes(now, from, number, key, request.bytes());
    }
    return replica.read(now, from, number, key);
}

void receive_digests(Seconds now, const Name& from, const wire::HeldCompare& comparison,
                     Replica& replica) {
    if (comparison.digests_size() != static_cast<int>(kKeyRangeCount)) {
        return;
    }
    Digests digests{};
    std::copy(comparison.digests().begin(), comparison.digests().end(), digests.begin());
    return replica.receive_digests(now, from, ShardId{comparison.slot()},
                                   TableVersion{comparison.since()}, MessageNumber{comparison.no()},
                                   digests);
}

void receive_differences(Seconds now, const Name& from, const wire::HeldDiffers& differences,
                         Replica& replica) {
    std::vector<std::size_t> ranges(differences.ranges().begin(), differences.ranges().end());
    std::vector<KeyVersion> key_versions;
    for (const auto& stamp : differences.stamps()) {
        key_versions.push_back(
            {key_from(stamp), {TableVersion{stamp.view()}, stamp.step()}, stamp.going()});
    }
    return replica.receive_differences(now, from, MessageNumber{differences.no()}, ranges,
                                       key_versions);
}

}  // namespace

void dispatch_message(Seconds now, const Name& from, const wire::Holding& message, Replica& replica,
                      EffectLogClient& effect_log) {
    switch (message.what_case()) {
        case wire::Holding::kAsk:
            return receive_request(now, from, message.ask(), replica);
        case wire::Holding::kReply: {
            const wire::HeldReply& reply = message.reply();
            const Record record = record_from(now, reply.record());
            return effect_log.on_reply(
                now, RequestNumber{reply.no()}, within(reply.what(), Reply::key_conflict),
                TableVersion{reply.number()}, reply.has_record() ? &record : nullptr);
        }
        case wire::Holding::kCopy: {
            const wire::HeldCopy& copy = message.copy();
            const Record record = record_from(now, copy.record());
            return replica.receive_record(now, from, ShardId{copy.slot()},
                                          TableVersion{copy.since()}, MessageNumber{copy.no()},
                                          copy.has_record() ? &record : nullptr);
        }
        case wire::Holding::kCopied:
            return replica.on_acknowledged(now, from, MessageNumber{message.copied().no()});
        case wire::Holding::kDelay: {
            const wire::HeldDelay& delay = message.delay();
            return replica.receive_delay(from, ShardId{delay.slot()}, key_from(delay),
                                         MessageNumber{delay.no()}, delay.delay());
        }
        case wire::Holding::kRefused:
            return replica.on_refused(now, from, MessageNumber{message.refused().no()},
                                      TableVersion{message.refused().number()});
        case wire::Holding::kCompare:
            return receive_digests(now, from, message.compare(), replica);
        case wire::Holding::kDiffers:
            return receive_differences(now, from, message.differs(), replica);
        default:
            return;
    }
}

}  // namespace tideline::replication
