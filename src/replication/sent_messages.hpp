// Messages of a primary to other members that may still be answered.
#pragma once

#include <cstdint>
#include <map>

#include "replication/pending_operations.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

struct SentMessage {
    // Of a record; 0 with a comparison.
    OperationNumber operation = 0;
    Name to;
    Seconds sent_at = 0;
    // Digests of a shard, to be answered with the differences; otherwise a record, to be
    // acknowledged.
    bool is_comparison = false;
    ShardId shard_id;
};

// One thread; no I/O, no clock.
class SentMessages {
  public:
    // `last_number` differs with each start of each disk: a late answer to a message of a former
    // incarnation may fit no message of this one.
    explicit SentMessages(std::uint64_t last_number) : last_number_(last_number) {}

    // Returns the number of the message.
    MessageNumber add(SentMessage message);
    // Null where `from` was not sent a message of this number, or it was answered or forgotten.
    const SentMessage* find(const Name& from, MessageNumber number) const;
    void erase(MessageNumber number);
    // Forgets those that were sent so long ago that no answer counts any more.
    void forget_expired(Seconds now);

  private:
    std::map<MessageNumber, SentMessage> messages_;
    std::uint64_t last_number_;
};

}  // namespace tideline::replication
