// Tests of the alarms that the audit of the whole cluster raises.
#include "audit/fleet_audit.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace tideline::test {

TEST_CASE("an alarm is raised once for the fleet, whichever member runs the audit",
          "[fleet_audit]") {
    struct RecordingFleetAuditHost : audit::FleetAuditHost {
        void request_audit() override {
            ++audit_requests;
        }
        void raise_alarm(const std::string& key, const std::string&) override {
            raised.push_back(key);
        }
        void clear_alarm(const std::string& key) override {
            cleared.push_back(key);
        }
        int audit_requests = 0;
        std::vector<std::string> raised;
        std::vector<std::string> cleared;
    } host;
    audit::FleetAudit fleet_audit(host, 5);
    fleet_audit.tick(10);
    CHECK(host.audit_requests == 0);
    fleet_audit.lease_acquired(10, std::nullopt);
    fleet_audit.tick(10);
    CHECK(host.audit_requests == 1);
    const std::vector<audit::MemberFinding> rows{{cluster::Name{"a"}, "straggler", ""},
                                                 {cluster::Name{"b"}, "unreachable", ""},
                                                 {cluster::Name{"c"}, "current", ""}};
    fleet_audit.on_audit(10, rows);
    CHECK(host.raised.empty());  // the alarms that are raised already are not known yet
    fleet_audit.set_raised_alarms({"straggler a", "gone c"});
    fleet_audit.on_audit(10.1, rows);
    CHECK(host.raised.empty());
    CHECK(host.cleared == std::vector<std::string>{"gone c"});
    fleet_audit.on_audit(15, rows);
    CHECK(host.raised == std::vector<std::string>{"unreachable b"});
    fleet_audit.on_alarm_committed("unreachable b", true);
    fleet_audit.on_audit(20, rows);
    CHECK(host.raised.size() == 1);
}

}  // namespace tideline::test
