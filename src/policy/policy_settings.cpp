#include "policy/policy_settings.hpp"

#include <algorithm>
#include <string>

#include "policy/settings_reader.hpp"

namespace tideline {
namespace {

// The smallest evidence fraction of a back vote: a third of the three failures that the judge needs
// is a single failure, the least that shows anything.
constexpr double kMinEvidenceFraction = 1.0 / 3;
constexpr double kMinFlaggedShare = 1e-3;

bool read_is_list_pushed(const SettingsReader& reader) {
    return !reader.one_of<bool>("list.told", {{"asked", true}, {"unasked", false}}, "unasked");
}

// If no time is set within which changes count as notified, a list stays valid without
// confirmation.
EndpointListFreshness::Bounds read_list_bounds(const SettingsReader& reader) {
    constexpr Seconds kUnbounded = EndpointListFreshness::kUnbounded;
    EndpointListFreshness::Bounds bounds;
    bounds.notified_within = std::min(reader.number_or("list.told_within", kUnbounded),
                                      reader.number_or("rules.ask_within", kUnbounded));
    if (!reader.has("list.told_within")) {
        bounds.notified_within = kUnbounded;
    }
    bounds.notified_after_move = reader.number_or("list.told_after_move", kUnbounded);
    bounds.drain_grace = reader.number_or("rules.drain_grace", 0);
    bounds.pushed = reader.has("list.told_within") && read_is_list_pushed(reader);
    return bounds;
}

RequestClassSettings read_request_class(const SettingsReader& reader, const std::string& prefix) {
    const std::map<std::string, Effect> effects = {{"idempotent", Effect::idempotent},
                                                   {"fingerprinted", Effect::fingerprinted},
                                                   {"side-effecting", Effect::side_effecting}};
    const std::map<std::string, RepeatGroup> groups = {{"all", RepeatGroup::all},
                                                       {"location", RepeatGroup::location},
                                                       {"cell", RepeatGroup::cell}};
    RequestClassSettings request_class;
    request_class.slo_time = reader.required_number(prefix + ".slo_time");
    reader.required_number(prefix + ".time_limit");
    request_class.effect = reader.one_of(prefix + ".effect", effects);
    request_class.repeat_group = reader.one_of(prefix + ".group", groups, "all");
    if (request_class.effect == Effect::fingerprinted) {
        request_class.repeat_window = reader.required_number(prefix + ".repeat_window");
    }
    request_class.billed_value = reader.number_or(prefix + ".billed_value", 1);
    return request_class;
}

std::vector<RequestClassSettings> read_request_classes(const SettingsReader& reader) {
    const int count = static_cast<int>(reader.required_number("operations.count", 1, 1e6));
    std::vector<RequestClassSettings> request_classes;
    request_classes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        request_classes.push_back(read_request_class(reader, "operations." + std::to_string(i)));
    }
    return request_classes;
}

SlowStartSettings read_slow_start(const SettingsReader& reader) {
    SlowStartSettings slow_start;
    slow_start.initial_capacity = reader.required_number("rules.cold_share", 0, 1);
    slow_start.duration = reader.required_number("rules.warm_within");
    slow_start.overload_multiple = reader.required_number("rules.fall_multiple");
    slow_start.window = reader.required_number("rules.fall_window");
    return slow_start;
}

ReleaseSettings read_release(const SettingsReader& reader) {
    ReleaseSettings release;
    release.back_votes = std::max(1.0, reader.number_or("release.back_votes", 1));
    release.evidence_fraction = std::max(kMinEvidenceFraction, 1 / release.back_votes);
    release.exposure_window = reader.required_number("release.window");
    release.allowance = reader.required_number("release.allowance");
    release.first_cap = reader.required_number("release.caps.0", 0, 1);
    release.cap_per_request_class =
        reader.one_of<bool>("release.counted_by", {{"all", false}, {"operation", true}});
    release.guarded_stages = static_cast<int>(reader.required_number("release.guarded_stages"));
    release.one_way_keys = reader.is_enabled("release.one_way_keys");
    release.advanced_by =
        reader.one_of<StageAdvance>("release.moved_by", {{"any", StageAdvance::votes},
                                                         {"count", StageAdvance::votes},
                                                         {"clock", StageAdvance::clock}});
    release.min_stage_time = reader.required_number("release.least_time");
    release.vote_lifetime = reader.required_number("release.vote_life");
    release.vote_timeout = reader.required_number("release.vote_wait");
    release.flagged_share =
        std::max(kMinFlaggedShare, reader.number_or("release.flagged_share", 0));
    return release;
}

// Quotas are enforced only if requests beyond them are worth less.
std::map<TenantId, double> read_quotas(const SettingsReader& reader) {
    const bool enforced = reader.number_or("over_share_value", 1) < 1;
    const double count = enforced ? reader.number_or("customers.count", 0) : 0;
    std::map<TenantId, double> quotas;
    for (TenantId tenant{0}; tenant.value < count; ++tenant.value) {
        quotas[tenant] =
            reader.number_or("customers." + std::to_string(tenant.value) + ".share", 1);
    }
    return quotas;
}

}  // namespace

PolicySettings::PolicySettings(const Settings& settings) {
    const SettingsReader reader(settings);
    list_bounds = read_list_bounds(reader);
    sidecars = reader.number_or("sidecars", 1, 1, 1e9);
    request_classes = read_request_classes(reader);
    drain_grace = reader.required_number("rules.drain_grace");
    slow_start = read_slow_start(reader);
    release = read_release(reader);
    valued_by_work =
        reader.one_of<bool>("valued_by", {{"request", false}, {"work", true}}, "request");
    max_attempts = static_cast<int>(reader.required_number("allowed.dispatches", 1));
    quotas = read_quotas(reader);
    if (reader.is_enabled("allowed.come_back")) {
        max_retry_after = reader.number_or("allowed.longest_come_back", 0);
    }
    cross_location_costs = reader.number_or("prices.cross_location", 0) > 0;
    health_checks_allowed = reader.is_enabled("allowed.probes");
    location = Location{static_cast<int>(reader.number_or("location", 0))};
    is_list_pushed = read_is_list_pushed(reader);
}

}  // namespace tideline
