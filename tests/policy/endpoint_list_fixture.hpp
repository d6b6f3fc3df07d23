// Bounds and settings shared by the tests of how long an endpoint list may be used.
#pragma once

#include "policy/endpoint_list_freshness.hpp"
#include "policy_fixture.hpp"

namespace tideline::test {

inline constexpr Seconds kNotifiedWithin = 6;
inline constexpr Seconds kAfterMove = 4;
inline constexpr Seconds kGrace = 1;

// `pushed`: the list is delivered without a watch.
inline EndpointListFreshness::Bounds bounds(bool pushed = false) {
    EndpointListFreshness::Bounds bounds;
    bounds.notified_within = kNotifiedWithin;
    bounds.notified_after_move = kAfterMove;
    bounds.drain_grace = kGrace;
    bounds.pushed = pushed;
    return bounds;
}
inline Settings bounded_settings() {
    Settings settings = basic_settings();
    settings["list.told"] = std::string("asked");
    settings["list.told_within"] = kNotifiedWithin;
    settings["list.told_after_move"] = kAfterMove;
    settings["rules.drain_grace"] = kGrace;
    return settings;
}

}  // namespace tideline::test
