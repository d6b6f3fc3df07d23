// Limits and sizes that the parts of Replica share.
#pragma once

#include <limits>

#include "replication/types.hpp"

namespace tideline::replication {

// The longest delay of a message in seconds. An age is counted from the arrival of its message, so
// with a delayed message an attempt would look later than it was: receivers put its time back by
// this much, and an acknowledgement that took longer counts as none.
inline constexpr Seconds kMaxMessageDelay = 5;
// In seconds. Members drop the same record at about the same time: what expires within this is
// marked as expiring, and its absence elsewhere means nothing.
inline constexpr Seconds kMaxExpirySkew = 5;
inline constexpr Seconds kExpiryInterval = 1;  // seconds between two looks for expired records
// Seconds of the repair rate that may be saved.
inline constexpr double kRepairAllowanceWindowSeconds = 0.25;
inline constexpr Seconds kNever = std::numeric_limits<double>::infinity();

// About how many bytes a record takes in memory and on the wire.
inline std::size_t size_of(const Record& record) {
    constexpr std::size_t kRecordBytes = 96;
    constexpr std::size_t kAttemptBytes = 64;
    return kRecordBytes + record.answer.size() + kAttemptBytes * record.attempts.size();
}

}  // namespace tideline::replication
