// The fleet audit: one member, under a lease, gathers the audit of all members and raises incident
// alarms, once for the cluster. No I/O and no clock: each call carries the time in seconds.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::audit {

class FleetAuditHost {
  public:
    virtual ~FleetAuditHost() = default;
    virtual void request_audit() = 0;  // asks all members; answered by gathered()
    // To the planners, which keep the raised alarms of the cluster; answered by settled().
    virtual void raise_alarm(const std::string& key, const std::string& text) = 0;
    virtual void clear_alarm(const std::string& key) = 0;
};

// What was gathered of one member.
struct MemberFinding {
    cluster::Name name;
    std::string state;  // as the audit has it: current, behind, straggler, shut out, unreachable,
                        // gone, left
    std::string fault;  // of its history
};

class FleetAudit {
  public:
    FleetAudit(FleetAuditHost& host, Seconds interval) : host_(host), interval_(interval) {}

    void lease_acquired(Seconds now,
                        std::optional<std::set<std::string>>
                            raised_alarms);  // the alarms that are raised, if known
    void lease_lost();
    void set_raised_alarms(const std::set<std::string>& keys);
    bool knows_raised_alarms() const {
        return raised_alarms_.has_value();
    }
    void on_audit(Seconds now, const std::vector<MemberFinding>& rows);
    void on_alarm_committed(const std::string& key, bool raised);  // the planners have stored it
    void tick(Seconds now);
    Seconds due() const;

  private:
    FleetAuditHost& host_;
    Seconds interval_;
    bool holds_lease_ = false;
    Seconds next_audit_ = 0;
    std::optional<std::set<std::string>> raised_alarms_;
    std::map<std::string, int> consecutive_findings_;  // audits in a row with that finding
};

}  // namespace tideline::audit
