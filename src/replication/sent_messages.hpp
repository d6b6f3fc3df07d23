// Messages of a primary to other members whose answers still count.
#pragma once

#include <cstdint>
#include <map>

#include "replication/pending_operations.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

struct SentMessage {
    // Operation whose record was sent; 0 for a comparison.
    OperationNumber operation = 0;
    Name to;
    Seconds sent_at = 0;
    // True if the message contains the digests of a shard and is answered with the differences.
    // Otherwise it contains a record and is answered with an acknowledgement.
    bool is_comparison = false;
    ShardId shard_id;
};

// Single-threaded; neither does I/O nor reads a clock.
class SentMessages {
  public:
    // `last_number` has to differ for each start of each disk, so that a late answer to an earlier
    // incarnation matches no message of this one.
    explicit SentMessages(std::uint64_t last_number) : last_number_(last_number) {}

    // Returns the number of the message.
    MessageNumber add(SentMessage message);
    // Returns null if no message with this number was sent to `from`, or if it was answered or
    // forgotten.
    const SentMessage* find(const Name& from, MessageNumber number) const;
    void erase(MessageNumber number);
    // Forgets messages that were sent so long ago that their answers no longer count.
    void forget_expired(Seconds now);

  private:
    std::map<MessageNumber, SentMessage> messages_;
    std::uint64_t last_number_;
};

}  // namespace tideline::replication
