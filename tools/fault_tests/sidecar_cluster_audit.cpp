// SidecarCluster: sends audit queries to one member after the other and records the answers.

#include "fault_tests/sidecar_cluster.hpp"

namespace tideline::fault_tests {

namespace {

using namespace fakes;

constexpr Seconds kAuditInterval = 0.25;  // from one audit query to the next
constexpr Seconds kAuditTimeout = 4;      // an audit that takes longer is recorded as incomplete

}  // namespace

void SidecarCluster::request_audit(int member) {
    const Seconds from = net::clock_now();
    auto& pending = queries_[member];
    pending = std::make_unique<cluster::MembersQuery>(
        loop, at_port(member, kClusterPort, kListenNetwork), true);
    cluster::MembersQuery* query = pending.get();
    loop.timers.at(from + 0.05, [this, member, query, from] {
        const auto poll = [this, member, query, from](auto self) -> void {
            const auto it = queries_.find(member);
            if (it == queries_.end() || it->second.get() != query) {
                return;
            }
            if (!query->finished && net::clock_now() < from + kAuditTimeout) {
                loop.timers.at(net::clock_now() + 0.02, [self] { self(self); });
                return;
            }
            Audit audit{from, net::clock_now(), member, query->complete, {}};
            for (const auto& row : query->rows) {
                if (row.entry().name().size() > 1) {
                    audit.rows[std::stoi(row.entry().name().substr(1))] = {
                        row.state(), row.fault(), row.entry().life(),
                        static_cast<int>(row.record().open().stand())};
                }
            }
            query->close();
            loop.destroy_after_pass(std::move(it->second));
            queries_.erase(it);
            audits.push_back(std::move(audit));
        };
        poll(poll);
    });
}
void SidecarCluster::start_audits() {
    for (int tries = 0; tries < options.members; ++tries) {
        last_audited_ = last_audited_ % options.members + 1;
        const Member& member = members[static_cast<std::size_t>(last_audited_)];
        if (!member.process->runs() || member.stopped || queries_.contains(last_audited_)) {
            continue;
        }
        request_audit(last_audited_);
        break;
    }
    audit_timer_ = loop.timers.at(net::clock_now() + kAuditInterval, [this] { start_audits(); });
}
bool SidecarCluster::all_current(const Audit& audit) const {
    int current = 0;
    for (const auto& [member, row] : audit.rows) {
        current += row.state == "current" && row.fault.empty() && row.trial_participation == 0;
    }
    return audit.complete && current == options.members &&
           static_cast<int>(audit.rows.size()) == options.members;
}

}  // namespace tideline::fault_tests
