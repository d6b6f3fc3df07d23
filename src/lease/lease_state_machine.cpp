#include "lease/lease_state_machine.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace tideline::lease {

const Lease* LeaseStateMachine::find(const LeaseName& lease) const {
    const auto it = leases_.find(lease);
    return it == leases_.end() ? nullptr : &it->second;
}

void LeaseStateMachine::acquire(FencingToken at, double unix_time, const LeaseName& name,
                                const Member& member) {
    if (!leases_.contains(name) && leases_.size() >= kMaxLeases) {
        return;
    }
    Lease& lease = leases_[name];
    if (lease.now.holder == member && lease.now.token > FencingToken{}) {
        return;
    }
    if (lease.now.token == FencingToken{}) {
        lease.now = {at, member, unix_time, 0, HoldingEnd::held};
        return;
    }
    const bool is_waiting =
        std::find(lease.waiting.begin(), lease.waiting.end(), member) != lease.waiting.end();
    if (!is_waiting && lease.waiting.size() < kMaxWaiters) {
        lease.waiting.push_back(member);
    }
}
void LeaseStateMachine::end(FencingToken at, double unix_time, const LeaseName& name, Lease& lease,
                            HoldingEnd reason, const std::vector<Member>& absent) {
    lease.now.ended_at = unix_time;
    lease.now.end = reason;
    lease.past.push_back(lease.now);
    if (lease.past.size() > kMaxPastHoldings) {
        lease.past.pop_front();
    }
    for (const Member& each : absent) {
        std::erase(lease.waiting, each);
    }
    lease.now = {};
    lease.withdrawn = false;
    // The lease passes directly to one waiter, so that the others do not all request it at once.
    if (!lease.waiting.empty()) {
        lease.now = {at, lease.waiting.front(), unix_time, 0, HoldingEnd::held};
        lease.waiting.pop_front();
    } else if (leases_.size() >= kMaxLeases && !raised_alarms_.contains(name) &&
               !documents_.contains(name)) {
        leases_.erase(name);  // makes room for a lease of another name
    }
}
void LeaseStateMachine::end_holding(FencingToken at, double unix_time, const LeaseName& name,
                                    FencingToken token, HoldingEnd reason,
                                    const std::vector<Member>& absent) {
    const auto it = leases_.find(name);
    // A delayed or repeated command for an earlier holding must not end the present one.
    if (it == leases_.end() || it->second.now.token != token || token == FencingToken{}) {
        return;
    }
    end(at, unix_time, name, it->second, it->second.withdrawn ? HoldingEnd::revoked : reason,
        absent);
}
void LeaseStateMachine::revoke(const LeaseName& name, FencingToken token) {
    const auto it = leases_.find(name);
    if (it == leases_.end() || it->second.now.token != token || token == FencingToken{}) {
        return;
    }
    // The holder may act until the lease expires, so revoking only prevents the renewal. The next
    // grant comes after the expiry.
    it->second.withdrawn = true;
}
void LeaseStateMachine::stop_waiting(const LeaseName& name, const Member& member) {
    const auto it = leases_.find(name);
    if (it != leases_.end()) {
        std::erase(it->second.waiting, member);
    }
}

ChangeResult LeaseStateMachine::raise_alarm(double unix_time, const LeaseName& name,
                                            FencingToken token, const std::string& key,
                                            const std::string& text) {
    const Lease* lease = find(name);
    // A former holder must not raise alarms while its successor does.
    if (!lease || lease->now.token != token || token == FencingToken{}) {
        return ChangeResult::stale_token;
    }
    auto& all = raised_alarms_[name];
    // An alarm that is raised already keeps its token and its time; only its text is updated.
    if (const auto raised = all.find(key); raised != all.end()) {
        raised->second.text = text;
        return ChangeResult::unchanged;
    }
    if (all.size() >= kMaxRaisedAlarms) {
        return ChangeResult::unchanged;
    }
    all.emplace(key, RaisedAlarm{token, unix_time, text});
    return ChangeResult::done;
}
ChangeResult LeaseStateMachine::clear_alarm(const LeaseName& name, FencingToken token,
                                            const std::string& key) {
    const Lease* lease = find(name);
    if (!lease || lease->now.token != token || token == FencingToken{}) {
        return ChangeResult::stale_token;
    }
    const auto it = raised_alarms_.find(name);
    return it != raised_alarms_.end() && it->second.erase(key) > 0 ? ChangeResult::done
                                                                   : ChangeResult::unchanged;
}

ChangeResult LeaseStateMachine::write_document(const LeaseName& name, FencingToken token,
                                               std::uint64_t number, const std::string& bytes) {
    const Lease* lease = find(name);
    // The document must not be overwritten by a former holder, nor by a holder that has not seen
    // the newest version.
    if (!lease || lease->now.token != token || token == FencingToken{}) {
        return ChangeResult::stale_token;
    }
    const auto it = documents_.find(name);
    const std::uint64_t last = it == documents_.end() ? 0 : it->second.number;
    if (number != last + 1 || bytes.size() > kMaxDocumentBytes) {
        return ChangeResult::unchanged;
    }
    documents_[name] = {number, bytes};
    return ChangeResult::done;
}

void LeaseStateMachine::restore(std::map<LeaseName, Lease> leases, RaisedAlarms raised,
                                LeaseDocuments documents) {
    leases_ = std::move(leases);
    raised_alarms_ = std::move(raised);
    documents_ = std::move(documents);
}
std::string LeaseStateMachine::fingerprint() const {
    std::string text;
    for (const auto& [name, lease] : leases_) {
        text += fmt::format("{}={}{}{}:", name.value, lease.now.token.value,
                            lease.now.holder.name.value, lease.now.holder.incarnation.value);
        for (const Member& each : lease.waiting) {
            text += fmt::format("{}{},", each.name.value, each.incarnation.value);
        }
        text += lease.withdrawn ? "w;" : ";";
    }
    for (const auto& [name, all] : raised_alarms_) {
        for (const auto& [key, each] : all) {
            text += fmt::format("{}!{}@{};", name.value, key, each.token.value);
        }
    }
    for (const auto& [name, each] : documents_) {
        text += fmt::format("{}#{}.{};", name.value, each.number, each.bytes.size());
    }
    return text;
}

}  // namespace tideline::lease
