// Bounds and settings shared by the tests of how long an endpoint list may be used.
#pragma once

#include "policy/endpoint_list_freshness.hpp"
#include "policy_fixture.hpp"

namespace tideline::test {

inline constexpr Seconds kNotifiedWithin = 6;
inline constexpr Seconds kNotifiedAfterMove = 4;
inline constexpr Seconds kDrainGrace = 1;

// `pushed`: the list is delivered without a watch.
inline EndpointListFreshness::Bounds bounds(bool pushed = false) {
    EndpointListFreshness::Bounds bounds;
    bounds.notified_within = kNotifiedWithin;
    bounds.notified_after_move = kNotifiedAfterMove;
    bounds.drain_grace = kDrainGrace;
    bounds.pushed = pushed;
    return bounds;
}
inline Settings bounded_settings() {
    Settings settings = basic_settings();
    settings["list.told"] = std::string("asked");
    settings["list.told_within"] = kNotifiedWithin;
    settings["list.told_after_move"] = kNotifiedAfterMove;
    settings["rules.drain_grace"] = kDrainGrace;
    return settings;
}

}  // namespace tideline::test
