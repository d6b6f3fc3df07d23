#include "audit/fleet_audit.hpp"

#include <limits>

namespace tideline::audit {
namespace {

// Consecutive audits that find a member unreachable before the alarm is raised: a single late
// answer raises none.
constexpr int kMinUnreachableAudits = 2;

}  // namespace

void FleetAudit::lease_acquired(Seconds now, std::optional<std::set<std::string>> raised_alarms) {
    holds_lease_ = true;
    next_audit_ = now;
    raised_alarms_ = std::move(raised_alarms);
    consecutive_findings_.clear();
}
void FleetAudit::lease_lost() {
    holds_lease_ = false;
    raised_alarms_.reset();
}
void FleetAudit::set_raised_alarms(const std::set<std::string>& keys) {
    if (holds_lease_) {
        raised_alarms_ = keys;
    }
}
Seconds FleetAudit::due() const {
    return holds_lease_ ? next_audit_ : std::numeric_limits<double>::infinity();
}
void FleetAudit::tick(Seconds now) {
    if (!holds_lease_ || now < next_audit_) {
        return;
    }
    next_audit_ = now + interval_;
    host_.request_audit();
}
void FleetAudit::on_audit(Seconds, const std::vector<MemberFinding>& rows) {
    // A lease holder that does not know the raised alarms would never clear those of its
    // predecessor.
    if (!holds_lease_ || !raised_alarms_) {
        return;
    }
    std::map<std::string, std::string> wanted;
    for (const MemberFinding& row : rows) {
        const std::string& name = row.name.value;
        if (row.state == "straggler" || row.state == "shut out") {
            wanted[row.state + " " + name] = name + " is a straggler (" + row.state + ")";
        }
        if (row.state == "unreachable") {
            wanted["unreachable " + name] = name + " does not answer";
        }
        if (row.state == "gone") {
            wanted["gone " + name] = name + " is gone";
        }
        if (!row.fault.empty()) {
            wanted["history " + name] = name + ": " + row.fault;
        }
    }
    std::erase_if(consecutive_findings_, [&](auto& each) { return !wanted.contains(each.first); });
    for (const auto& [key, text] : wanted) {
        const int consecutive_audits = ++consecutive_findings_[key];
        if (raised_alarms_->contains(key) ||
            (key.starts_with("unreachable") && consecutive_audits < kMinUnreachableAudits)) {
            continue;
        }
        host_.raise_alarm(key, text);
    }
    // A member that alternates between gone and unreachable would otherwise have its alarms cleared
    // and raised again. Its alarms stay raised until it is healthy.
    std::set<std::string> kept_raised;
    for (const MemberFinding& row : rows) {
        if (row.state != "current" && row.state != "behind" && row.state != "left") {
            for (const char* kind : {"straggler ", "shut out ", "unreachable ", "gone "}) {
                kept_raised.insert(kind + row.name.value);
            }
        }
    }
    for (const std::string& key : *raised_alarms_) {
        if (!wanted.contains(key) && !kept_raised.contains(key)) {
            host_.clear_alarm(key);
        }
    }
}
void FleetAudit::on_alarm_committed(const std::string& key, bool raised) {
    if (!raised_alarms_) {
        return;
    }
    if (raised) {
        raised_alarms_->insert(key);
    } else {
        raised_alarms_->erase(key);
    }
}

}  // namespace tideline::audit
