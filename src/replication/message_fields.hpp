// Conversion of fields that several messages of replication.proto share. Messages contain ages in
// place of times: `now` is when the message is written or received.
#pragma once

#include <algorithm>

#include "replication.pb.h"
#include "replication/types.hpp"

namespace tideline::replication {

// Converts a number to an enum. A number beyond the enum becomes `last`, its last value, so the
// result is always a valid value.
template <class Kind>
Kind within(std::uint32_t value, Kind last) {
    return static_cast<Kind>(std::min(value, static_cast<std::uint32_t>(last)));
}

inline void put(Seconds now, const AttemptRecord& attempt, wire::HeldTry& to) {
    to.set_name(attempt.owner.name.value);
    to.set_life(attempt.owner.incarnation.value);
    to.set_inv(attempt.owner.request);
    to.set_no(attempt.number);
    to.set_fate(static_cast<std::uint32_t>(attempt.outcome));
    to.set_location(attempt.location.value);
    to.set_cell(attempt.cell.value);
    to.set_ago(now - attempt.sent_at);
}

inline AttemptRecord attempt_from(Seconds now, const wire::HeldTry& from) {
    AttemptRecord attempt;
    attempt.owner = {Name{from.name()}, Incarnation{from.life()}, from.inv()};
    attempt.number = from.no();
    attempt.outcome = within(from.fate(), AttemptOutcome::answered);
    attempt.location = Location{from.location()};
    attempt.cell = Cell{from.cell()};
    attempt.sent_at = now - std::max(0.0, from.ago());
    return attempt;
}

// For messages with the fields `high` and `low`.
template <class To>
void put(const Key& key, To& to) {
    to.set_high(key.value[0]);
    to.set_low(key.value[1]);
}

template <class From>
Key key_from(const From& from) {
    return {{from.high(), from.low()}};
}

}  // namespace tideline::replication
