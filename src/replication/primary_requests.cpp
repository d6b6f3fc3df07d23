#include "replication/primary_requests.hpp"

#include "replication/effect_log_settings.hpp"

namespace tideline::replication {

bool PrimaryRequests::apply_table(const ReplicaTable& table) {
    if (table.version <= table_.version) {
        return false;
    }
    table_ = table;
    return true;
}

const Name* PrimaryRequests::primary_of(const Key& key) const {
    if (table_.shards.empty() || table_.replica_set(key).replicas.empty()) {
        return nullptr;
    }
    return &table_.replica_set(key).primary();
}

RequestNumber PrimaryRequests::begin_request(Seconds now, const Name& primary) {
    Unanswered& unanswered = unanswered_.try_emplace(primary, Unanswered{now, now}).first->second;
    // A request that is no longer resent must not count against the primary forever.
    if (now > unanswered.last_request_at + kMaxNotificationInterval + claim_timeout_) {
        unanswered.since = now;
    }
    unanswered.last_request_at = now;
    return RequestNumber{++last_number_};
}

void PrimaryRequests::on_reply(const Key& key) {
    if (const Name* const primary = primary_of(key)) {
        unanswered_.erase(*primary);
    }
}

std::set<Name> PrimaryRequests::silent_primaries(Seconds now) const {
    std::set<Name> names;
    for (const auto& [name, unanswered] : unanswered_) {
        if (now > unanswered.since + 2 * claim_timeout_ &&
            now < unanswered.last_request_at + kMaxNotificationInterval + claim_timeout_) {
            names.insert(name);
        }
    }
    return names;
}

}  // namespace tideline::replication
