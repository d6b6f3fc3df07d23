// Tests of the replication settings in an operator file.
#include <catch2/catch.hpp>

#include "cluster/cluster_config.hpp"

namespace tideline::test {

TEST_CASE("faults in the replication settings of an operator file are reported with their lines") {
    cluster::ClusterConfig cluster_config;
    const auto faults = [&](const std::string& copies, const std::string& rest = "") {
        cluster_config = {};
        return cluster::read_cluster_config(
            "fleet = { member = \"a\"; listen = \"127.0.0.1:1\";\n" + rest + "\n copies = { " +
                copies + " };\n};\n",
            cluster_config);
    };
    const std::string other_settings =
        "folder = \"/x\"; planners = { addresses = [\"127.0.0.1:2\"]; };";
    CHECK(faults("copies = 3; least = 2; otherwise = \"alone\";", other_settings).empty());
    CHECK(cluster_config.replication.enabled);
    CHECK(cluster_config.replication.effect_log.allow_unreplicated);
    CHECK(cluster_config.replication.repair_coordinator.min_replicas == 2);
    CHECK(faults("copies = 2;", other_settings).empty());
    CHECK(cluster_config.replication.repair_coordinator.min_replicas == 2);
    CHECK(faults("copies = 2;").size() == 2);
    CHECK(faults("copies = 2; least = 3;", other_settings).size() == 1);
    CHECK(faults("copies = 9;", other_settings).size() == 1);
    CHECK(faults("otherwise = \"maybe\";", other_settings).size() == 1);
    const auto unknown_key = faults("copys = 2;", other_settings);
    REQUIRE(unknown_key.size() == 1);
    CHECK(unknown_key[0].line == 3);
}

}  // namespace tideline::test
