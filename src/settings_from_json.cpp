#include "settings_from_json.hpp"

#include <map>
#include <string>
#include <vector>

namespace tideline {
namespace {

using nlohmann::json;

// Maps the names of the JSON profile, without list positions, to the names of the settings. Other
// names are ignored.
const std::map<std::string, std::string> kSettingNames = {
    {"areas", "locations"},
    {"ceilings.connectTimeoutUs", "allowed.connect_time"},
    {"ceilings.keepaliveUs", "allowed.keep_idle"},
    {"ceilings.maxAttempts", "allowed.dispatches"},
    {"ceilings.maxRetryAfterUs", "allowed.longest_come_back"},
    {"ceilings.mayDuplicate", "allowed.overlap"},
    {"ceilings.mostHeld", "allowed.held"},
    {"ceilings.probes", "allowed.probes"},
    {"ceilings.retryAfter", "allowed.come_back"},
    {"ceilings.streamsPerConn", "allowed.per_connection"},
    {"classes", "operations"},
    {"classes.aimStretch", "operations.slo_stretch"},
    {"classes.deadlineUs", "operations.time_limit"},
    {"classes.effect", "operations.effect"},
    {"classes.gain", "operations.billed_value"},
    {"classes.group", "operations.group"},
    {"classes.name", "operations.name"},
    {"classes.lateWorth", "operations.late_share"},
    {"classes.promiseUs", "operations.slo_time"},
    {"classes.stream", "operations.stream"},
    {"classes.windowUs", "operations.repeat_window"},
    {"familyInfo.allowance", "release.allowance"},
    {"familyInfo.complaintShare", "release.flagged_share"},
    {"familyInfo.gateMode", "release.moved_by"},
    {"familyInfo.harmPrice", "release.harm_price"},
    {"familyInfo.mostShares", "release.caps"},
    {"familyInfo.movesAfterUs", "release.moves_after"},
    {"familyInfo.noReturn", "release.one_way_keys"},
    {"familyInfo.noesNeeded", "release.back_votes"},
    {"familyInfo.onVotes", "release.on_votes"},
    {"familyInfo.per", "release.counted_by"},
    {"familyInfo.pushUs", "release.news_every"},
    {"familyInfo.rings", "release.fleet_shares"},
    {"familyInfo.sampledShare", "release.tally_share"},
    {"familyInfo.shielded", "release.guarded_stages"},
    {"familyInfo.soakUs", "release.least_time"},
    {"familyInfo.staleBuildPrice", "release.behind_price"},
    {"familyInfo.swap", "release.swap"},
    {"familyInfo.tallyEveryUs", "release.tally_every"},
    {"familyInfo.toPause", "release.hold_votes"},
    {"familyInfo.voteTtlUs", "release.vote_life"},
    {"familyInfo.voteWaitUs", "release.vote_wait"},
    {"familyInfo.votesPerS", "release.votes_per_s"},
    {"familyInfo.windowUs", "release.window"},
    {"kinds", "kinds"},
    {"me", "me"},
    {"orgs", "customers"},
    {"orgs.name", "customers.name"},
    {"orgs.quotaPerS", "customers.quota"},
    {"orgs.share", "customers.share"},
    {"overShareWorth", "over_share_value"},
    {"prices.connection", "prices.connection"},
    {"prices.crossZone", "prices.cross_location"},
    {"prices.handshake", "prices.handshake"},
    {"prices.lateFail", "prices.late_fail"},
    {"prices.probe", "prices.probe"},
    {"prices.waste", "prices.waste"},
    {"registryMode", "list.told"},
    {"replicasOfMe", "sidecars"},
    {"report.via", "load.told"},
    {"safety.askWithinUs", "rules.ask_within"},
    {"safety.coldFrom", "rules.cold_share"},
    {"safety.drainGraceUs", "rules.drain_grace"},
    {"safety.fallMultiple", "rules.fall_multiple"},
    {"safety.fallUs", "rules.fall_window"},
    {"safety.graceToAnswerUs", "rules.answer_grace"},
    {"safety.rampTimeUs", "rules.warm_within"},
    {"tickUs", "tick"},
    {"weights", "list.weights"},
    {"worthBy", "valued_by"},
    {"zone", "location"},
};

// Maps values of the JSON profile to values of the settings, by the name of the setting.
const std::map<std::string, std::map<std::string, std::string>> kSettingValues = {
    {"operations.effect",
     {{"free", "idempotent"}, {"guarded", "fingerprinted"}, {"single_shot", "side-effecting"}}},
    {"operations.group", {{"all", "all"}, {"zone", "location"}, {"cell", "cell"}}},
    {"release.moved_by", {{"first_voice", "any"}, {"by_count", "count"}, {"automatic", "clock"}}},
    {"release.counted_by", {{"all", "all"}, {"each_class", "operation"}}},
    {"release.swap", {{"parallel", "beside"}, {"replace", "in_place"}}},
    {"list.told", {{"automatic", "unasked"}, {"subscribe", "asked"}}},
    {"load.told", {{"inline", "answers"}, {"on_probe", "probes"}, {"off", "never"}}},
};

constexpr double kSecondsPerMicrosecond = 1e-6;

using Positions = std::vector<std::size_t>;

// Returns the name of a setting with the position of its list entry: "operations.effect" at
// position 2 becomes "operations.2.effect", and "release.caps" at position 0 becomes
// "release.caps.0".
std::string name_at(const std::string& name, const Positions& positions) {
    if (positions.empty()) {
        return name;
    }
    const std::string position = "." + std::to_string(positions.front());
    const auto dot = name.find('.');
    const bool list_of_objects = dot != std::string::npos && !name.starts_with("release.");
    if (!list_of_objects) {
        return name + position;
    }
    return name.substr(0, dot) + position + name.substr(dot);
}

std::string path_of(const std::string& parent, const std::string& key) {
    if (parent.empty()) {
        return key;
    }
    std::string path = parent;
    path += ".";
    path += key;
    return path;
}

std::string setting_value(const std::string& name, const std::string& value) {
    const auto values = kSettingValues.find(name);
    if (values == kSettingValues.end()) {
        return value;
    }
    const auto known = values->second.find(value);
    return known == values->second.end() ? value : known->second;
}

// Collects the settings while it visits a JSON profile.
class ProfileReader {
  public:
    // `path` holds the keys that lead to `value`, without list positions; `positions` holds the
    // list positions on that path.
    void visit(const json& value, const std::string& path, const Positions& positions) {
        if (value.is_object()) {
            for (const auto& [key, inner] : value.items()) {
                visit(inner, path_of(path, key), positions);
            }
        } else if (value.is_array()) {
            visit_list(value, path, positions);
        } else if (const auto name = kSettingNames.find(path); name != kSettingNames.end()) {
            add_setting(value, name->second, path.ends_with("Us"), positions);
        }
    }
    const Settings& settings() const {
        return settings_;
    }

  private:
    void visit_list(const json& list, const std::string& path, const Positions& positions) {
        if (const auto name = kSettingNames.find(path); name != kSettingNames.end()) {
            settings_[name->second + ".count"] = static_cast<double>(list.size());
        }
        for (std::size_t i = 0; i < list.size(); ++i) {
            Positions inner = positions;
            inner.push_back(i);
            visit(list[i], path, inner);
        }
    }
    void add_setting(const json& value, const std::string& name, bool in_microseconds,
                     const Positions& positions) {
        const std::string full_name = name_at(name, positions);
        if (value.is_boolean()) {
            settings_[full_name] = value.get<bool>() ? 1.0 : 0.0;
        } else if (value.is_number()) {
            settings_[full_name] =
                value.get<double>() * (in_microseconds ? kSecondsPerMicrosecond : 1.0);
        } else if (value.is_string()) {
            settings_[full_name] = setting_value(name, value.get<std::string>());
        }
    }

    Settings settings_;
};

}  // namespace

Settings settings_from_json(const json& profile) {
    ProfileReader reader;
    reader.visit(profile, "", {});
    return reader.settings();
}

}  // namespace tideline
