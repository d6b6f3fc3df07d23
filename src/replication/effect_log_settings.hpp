// Settings and limits of the effect log's client.
#pragma once

#include <cstddef>

#include "replication/types.hpp"

namespace tideline::replication {

struct EffectLogClientSettings {
    Seconds claim_timeout = 0.5;    // how long an attempt waits for its claim
    Seconds resend_interval = 0.1;  // interval between two sends of a request without a reply
    // Interval at which the record is read while an attempt of another claimant is in flight.
    Seconds poll_interval = 0.1;
    Seconds notification_timeout = 60;  // time after which an unconfirmed notification is dropped
    // A member that gossip has not mentioned this long after the start counts as dead.
    Seconds unknown_member_timeout = 10;
    // Whether an attempt is sent although it was not replicated in time; otherwise its request is
    // rejected.
    bool allow_unreplicated = false;
    Seconds retry_after = 1;  // delay that rejected clients are advised to wait
    bool operator==(const EffectLogClientSettings&) const = default;
};

// Most notifications that wait for a primary's confirmation. Beyond this limit the oldest one is
// dropped.
inline constexpr std::size_t kMaxNotifications = 20000;
// Longest interval between two sends of one notification.
inline constexpr Seconds kMaxNotificationInterval = 2;

}  // namespace tideline::replication
