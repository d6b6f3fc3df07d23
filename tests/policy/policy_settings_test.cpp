// Tests of the settings of the policy: they are read once, and errors name the setting.
#include "policy/policy_settings.hpp"

#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"

namespace tideline::test {
namespace {

TEST_CASE("each setting that has no default is named when it is missing") {
    for (const char* name :
         {"operations.count", "operations.0.slo_time", "operations.0.time_limit",
          "operations.0.effect", "allowed.dispatches", "release.allowance", "release.caps.0",
          "release.counted_by", "release.guarded_stages", "release.moved_by", "release.least_time",
          "release.vote_life", "release.vote_wait", "release.window", "rules.cold_share",
          "rules.drain_grace", "rules.fall_multiple", "rules.fall_window", "rules.warm_within"}) {
        Settings settings = basic_settings();
        settings.erase(name);
        CHECK_THROWS_WITH(PolicySettings(settings), std::string("missing term: ") + name);
    }
}

TEST_CASE("a setting out of its range is named") {
    Settings settings = basic_settings();
    settings["rules.cold_share"] = 1.5;
    CHECK_THROWS_WITH(PolicySettings(settings), "term out of range: rules.cold_share");
}

TEST_CASE("quotas are read only where requests beyond them are worth less") {
    Settings settings = basic_settings();
    settings["customers.count"] = 2.0;
    settings["customers.1.share"] = 0.25;
    CHECK(PolicySettings(settings).quotas.empty());
    settings["over_share_value"] = 0.5;
    const PolicySettings enforced(settings);
    CHECK(enforced.quotas == std::map<TenantId, double>{{TenantId{0}, 1}, {TenantId{1}, 0.25}});
}

TEST_CASE("a back vote needs its part of the evidence, a third at least") {
    Settings settings = basic_settings();
    CHECK(PolicySettings(settings).release.evidence_fraction == 1);
    settings["release.back_votes"] = 2.0;
    CHECK(PolicySettings(settings).release.evidence_fraction == 0.5);
    settings["release.back_votes"] = 12.0;
    CHECK(PolicySettings(settings).release.evidence_fraction == Approx(1.0 / 3));
}

}  // namespace
}  // namespace tideline::test
