// Limits and sizes shared by the source files of Replica.
#pragma once

#include <limits>

#include "replication/types.hpp"

namespace tideline::replication {

// Longest assumed delay of a message. Messages carry ages, and the receiver counts them from the
// arrival of the message, so a delayed message makes an attempt look younger than it is. Receivers
// therefore move the send time back by this much, and an acknowledgement that took longer is
// ignored.
inline constexpr Seconds kMaxMessageDelay = 5;
// Largest difference between the times at which members drop the same record. A record that expires
// within this time is marked as expiring: another member may have dropped it already.
inline constexpr Seconds kMaxExpirySkew = 5;
inline constexpr Seconds kExpiryInterval = 1;  // interval between two scans for expired records
// Unused repair rate accumulates over at most this time.
inline constexpr double kRepairAllowanceWindowSeconds = 0.25;
inline constexpr Seconds kNever = std::numeric_limits<double>::infinity();

// Estimates the size of a record in memory and on the wire, in bytes.
inline std::size_t size_of(const Record& record) {
    constexpr std::size_t kRecordBytes = 96;
    constexpr std::size_t kAttemptBytes = 64;
    return kRecordBytes + record.answer.size() + kAttemptBytes * record.attempts.size();
}

}  // namespace tideline::replication
