// The fleet audit: the member that holds its lease gathers the audit results of all members and
// raises incident alarms, once for the cluster. It performs no I/O and reads no clock: each call
// carries the time in seconds.
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
    // Asks all members for their audit records. Answered by FleetAudit::on_audit().
    virtual void request_audit() = 0;
    // Send a change of an alarm to the planners, which store the raised alarms of the cluster.
    // Answered by FleetAudit::on_alarm_committed().
    virtual void raise_alarm(const std::string& key, const std::string& text) = 0;
    virtual void clear_alarm(const std::string& key) = 0;
};

// The result of an audit for one member.
struct MemberFinding {
    cluster::Name name;
    // One of: current, behind, straggler, shut out, unheard, unreachable, gone, left.
    std::string state;
    std::string fault;  // the fault in its audit history; empty if there is none
};

class FleetAudit {
  public:
    FleetAudit(FleetAuditHost& host, Seconds interval) : host_(host), interval_(interval) {}

    // `raised_alarms` holds the keys of the alarms that are raised at present, if they are known.
    void lease_acquired(Seconds now, std::optional<std::set<std::string>> raised_alarms);
    void lease_lost();
    void set_raised_alarms(const std::set<std::string>& keys);
    bool knows_raised_alarms() const {
        return raised_alarms_.has_value();
    }
    void on_audit(Seconds now, const std::vector<MemberFinding>& rows);
    // The planners have stored that the alarm is raised or cleared.
    void on_alarm_committed(const std::string& key, bool raised);
    void tick(Seconds now);
    Seconds due() const;

  private:
    FleetAuditHost& host_;
    Seconds interval_;
    bool holds_lease_ = false;
    Seconds next_audit_ = 0;
    std::optional<std::set<std::string>> raised_alarms_;
    // Consecutive audits with the finding, by alarm key.
    std::map<std::string, int> consecutive_findings_;
};

}  // namespace tideline::audit
