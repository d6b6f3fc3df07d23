// Tests of the cluster configuration of a member.
#include "cluster/cluster_config.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace tideline::test {

using cluster::ClusterConfig;

// Guards against a reload that reports settings as applied although they take effect only at the
// next start.
TEST_CASE("a reload says that a restart is needed for what only a start reads") {
    const ClusterConfig started;
    ClusterConfig fresh = started;
    fresh.digest = "another text";
    fresh.seeds = {"127.0.0.1:7800"};
    fresh.membership.period = 0.7;
    CHECK_FALSE(needs_restart(started, fresh));
    const std::vector<std::function<void(ClusterConfig&)>> changes = {
        [](auto& config) { config.folder = "elsewhere"; },
        [](auto& config) { config.planners = {"127.0.0.1:7900"}; },
        [](auto& config) { config.lease_client.max_renewal_interval = 0.9; },
        [](auto& config) { config.replication.enabled = true; },
        [](auto& config) { config.replication.repair_coordinator.replicas = 3; },
        [](auto& config) { config.replication.effect_log.allow_unreplicated = true; },
        [](auto& config) { config.replication.replica.time_to_live = 7; },
        [](auto& config) { config.replication.scrub_interval = 7; },
    };
    for (const auto& change : changes) {
        ClusterConfig changed = fresh;
        change(changed);
        CHECK(needs_restart(started, changed));
        // A reload to the configuration at start needs no restart, whatever was loaded in between.
        CHECK_FALSE(needs_restart(started, fresh));
    }
}

}  // namespace tideline::test
