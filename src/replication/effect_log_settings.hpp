// Settings and limits of the effect log's client.
#pragma once

#include <cstddef>

#include "replication/types.hpp"

namespace tideline::replication {

struct EffectLogClientSettings {
    Seconds claim_timeout = 0.5;    // longest wait for the replicas, before an attempt goes out
    Seconds resend_interval = 0.1;  // interval of resending a request without a reply
    Seconds poll_interval = 0.1;    // interval of reading while an attempt of another is running
    Seconds notification_timeout = 60;  // an outcome is sent for so long, unless it is taken
    // A member that was not heard of for so long after the start is dead.
    Seconds unknown_member_timeout = 10;
    // Not replicated in time: true lets an attempt go out all the same, false rejects it.
    bool allow_unreplicated = false;
    Seconds retry_after = 1;  // for clients that are rejected
    bool operator==(const EffectLogClientSettings&) const = default;
};

// Notifications that wait for a primary to take them; beyond this the oldest is given up.
inline constexpr std::size_t kMaxNotifications = 20000;
// The longest interval in seconds between two sendings of one notification.
inline constexpr Seconds kMaxNotificationInterval = 2;

}  // namespace tideline::replication
