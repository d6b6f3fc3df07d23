// Upper bounds, in seconds, of the delays that the protocol names. Whatever is allowed until a
// certain time has to be decided earlier by the delay that may follow the decision.
#pragma once

#include "policy/types.hpp"

namespace tideline {

// From the reading of the clock for a decision to send an attempt until the write to the endpoint.
// A process may be delayed for so long; a later write needs a new decision.
constexpr Seconds kMaxWriteDelay = 0.15;
// From the write until the last byte has arrived.
constexpr Seconds kMaxNetworkDelay = 0.05;
// From the reading of the clock until the last byte has arrived.
constexpr Seconds kMaxSendDelay = kMaxWriteDelay + kMaxNetworkDelay;
// A discovery service with many watches may send a change this long after a heartbeat that it sent
// when it already had the change.
constexpr Seconds kMaxNotificationLag = 0.4;

}  // namespace tideline
