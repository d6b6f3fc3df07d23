#include "replication/sent_messages.hpp"

#include <utility>

#include "replication/replica_limits.hpp"

namespace tideline::replication {

MessageNumber SentMessages::add(SentMessage message) {
    const MessageNumber number{++last_number_};
    messages_[number] = std::move(message);
    return number;
}

const SentMessage* SentMessages::find(const Name& from, MessageNumber number) const {
    const auto it = messages_.find(number);
    return it == messages_.end() || it->second.to != from ? nullptr : &it->second;
}

void SentMessages::erase(MessageNumber number) {
    messages_.erase(number);
}

void SentMessages::forget_expired(Seconds now) {
    std::erase_if(messages_,
                  [&](const auto& each) { return now > each.second.sent_at + kMaxMessageDelay; });
}

}  // namespace tideline::replication
