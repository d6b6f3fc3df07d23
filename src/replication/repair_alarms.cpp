#include "replication/repair_alarms.hpp"

#include <fmt/format.h>

namespace tideline::replication {
namespace {

// Alarm keys. The planners store them, so they can't change.
constexpr const char* kUnavailableKey = "lost";
constexpr const char* kUnderReplicatedKey = "few";
constexpr const char* kSinglePlaceKey = "one place";
constexpr const char* kDataLostKey = "blind";

// Minimum time between two updates of an alarm's text, because each update is an entry in the
// planners' log.
constexpr Seconds kTextUpdateInterval = 5;

std::string join_names(const std::set<Name>& names) {
    std::string text;
    for (const Name& name : names) {
        text += (text.empty() ? "" : " ") + name.value;
    }
    return text;
}

}  // namespace

void RepairAlarms::update(Seconds now, const ReplicationStatus& status, const ReplicaTable& table,
                          RepairCoordinatorHost& host) {
    const std::string absent = join_names(status.absent_members);
    set_alarm(now, kUnavailableKey, status.unavailable,
              fmt::format("shards unavailable: count={} total={} absent=\"{}\" action=\"bring them "
                          "back, or remove them\"",
                          status.unavailable, status.shards, absent),
              host);
    set_alarm(
        now, kUnderReplicatedKey, status.under_replicated,
        fmt::format("shards under-replicated: count={} total={} replicas_wanted={} absent=\"{}\"",
                    status.under_replicated, status.shards, table.replication_factor, absent),
        host);
    set_alarm(now, kSinglePlaceKey, status.single_place,
              fmt::format("shards in one place only: count={} total={}", status.single_place,
                          status.shards),
              host);
    set_alarm(
        now, kDataLostKey, status.data_lost,
        fmt::format("shards lost all replicas: count={} total={}", status.data_lost, status.shards),
        host);
}

void RepairAlarms::reset() {
    reported_alarms_.clear();
}

void RepairAlarms::set_alarm(Seconds now, const std::string& key, std::size_t count,
                             const std::string& text, RepairCoordinatorHost& host) {
    const bool raised = count > 0;
    const auto reported = reported_alarms_.find(key);
    const bool known = reported != reported_alarms_.end() && reported->second.raised == raised;
    const bool text_current =
        !raised || (known && (reported->second.text == text ||
                              now < reported->second.at + kTextUpdateInterval));
    if (known && text_current) {
        return;
    }
    reported_alarms_[key] = {raised, raised ? text : "", now};
    if (raised) {
        host.raise_alarm(key, text);
    } else {
        host.clear_alarm(key);
    }
}

}  // namespace tideline::replication
