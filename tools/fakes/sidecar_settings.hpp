// Settings of a sidecar that runs between the fakes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace tideline::fakes {

// Returns settings with three request classes: read (idempotent), charge (side-effecting) and
// instalment (with an idempotency key). The stages of a trial advance by votes.
inline nlohmann::json settings(int sidecars) {
    const auto op = [](const char* name, const char* effect, int window = 2000000) {
        return nlohmann::json{
            {"name", name},   {"effect", effect},   {"promiseUs", 400000}, {"deadlineUs", 1500000},
            {"group", "all"}, {"windowUs", window}, {"gain", 1.0}};
    };
    return {
        {"areas", {"a"}},
        {"replicasOfMe", sidecars},
        {"classes",
         {op("read", "free"), op("charge", "single_shot"), op("instalment", "guarded", 10000000)}},
        {"ceilings",
         {{"connectTimeoutUs", 400000},
          {"keepaliveUs", 30000000},
          {"maxAttempts", 4},
          {"probes", false},
          {"retryAfter", true},
          {"maxRetryAfterUs", 1000000}}},
        {"familyInfo",
         {{"allowance", 2.0},
          {"mostShares", {0.1, 0.4, 1.0}},
          {"per", "all"},
          {"shielded", 0},
          {"gateMode", "by_count"},
          {"soakUs", 1000000},
          {"voteTtlUs", 4000000},
          {"voteWaitUs", 300000},
          {"windowUs", 2000000},
          {"onVotes", 1},
          {"noesNeeded", 1}}},
        {"registryMode", "subscribe"},
        {"safety",
         {{"coldFrom", 0.4},
          {"rampTimeUs", 1000000},
          {"fallMultiple", 4.0},
          {"fallUs", 1000000},
          {"drainGraceUs", 500000}}}};
}
// Returns an entry of the endpoint list: an endpoint that is ready, in the area of the sidecars.
inline nlohmann::json endpoint_entry(const std::string& id, const std::string& address, int build) {
    return {{"id", id},
            {"host_port", address},
            {"locality", "a"},
            {"flavor", "m"},
            {"cell", 0},
            {"phase", "Ready"},
            {"size", 1.0},
            {"up_since_ms", 0},
            {"revision_no", build}};
}

}  // namespace tideline::fakes
