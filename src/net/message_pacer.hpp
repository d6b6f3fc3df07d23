// Limits how many messages of one peer are handled at a time, so that a peer that sends at full
// speed does not delay the others. Reads no clock.
#pragma once

#include "net/limits.hpp"

namespace tideline::net {

class MessagePacer {
  public:
    // Returns whether another message may be handled at time `now`.
    bool allows(Seconds now) {
        if (now - burst_began_ >= kMessageBurstInterval) {
            burst_began_ = now;
            handled_ = 0;
        }
        return handled_ < kMaxMessagesPerBurst;
    }
    // Counts a message that was handled.
    void message_handled() {
        ++handled_;
    }
    // The time from which on another message may be handled; 0 for at once.
    Seconds next_at() const {
        return handled_ < kMaxMessagesPerBurst ? 0 : burst_began_ + kMessageBurstInterval;
    }

  private:
    Seconds burst_began_ = 0;
    int handled_ = 0;  // messages handled since then
};

}  // namespace tideline::net
