#include "net/sidecar_settings.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

namespace tideline::net {
namespace {

std::string indexed(const char* list, int index, const char* field) {
    return std::string(list) + "." + std::to_string(index) + "." + field;
}

// Indices by name of the entries list.0.name, list.1.name and so on.
template <class Position>
std::map<std::string, Position, std::less<>> positions_by_name(const Settings& settings,
                                                               const char* list) {
    std::map<std::string, Position, std::less<>> positions;
    for (Position position{0};; ++position.value) {
        const auto name = settings.find(indexed(list, position.value, "name"));
        if (name == settings.end() || !std::holds_alternative<std::string>(name->second)) {
            return positions;
        }
        positions[std::get<std::string>(name->second)] = position;
    }
}

}  // namespace

RequestClassesByName request_classes_of(const Settings& settings) {
    return positions_by_name<RequestClass>(settings, "operations");
}

TenantsByName tenants_of(const Settings& settings) {
    return positions_by_name<TenantId>(settings, "customers");
}

std::map<RequestClass, Effect> guarded_effects_of(const Settings& settings,
                                                  const RequestClassesByName& request_classes) {
    std::map<RequestClass, Effect> effects;
    for (const auto& [name, request_class] : request_classes) {
        const auto effect = settings.find(indexed("operations", request_class.value, "effect"));
        if (effect == settings.end()) {
            continue;
        }
        if (effect->second == Setting{std::string("fingerprinted")}) {
            effects[request_class] = Effect::fingerprinted;
        }
        if (effect->second == Setting{std::string("side-effecting")}) {
            effects[request_class] = Effect::side_effecting;
        }
    }
    return effects;
}

Seconds longest_time_limit(const Settings& settings) {
    Seconds longest = 0;
    for (int i = 0;; ++i) {
        const auto setting = settings.find(indexed("operations", i, "time_limit"));
        if (setting == settings.end()) {
            return longest;
        }
        if (const double* limit = std::get_if<double>(&setting->second)) {
            longest = std::max(longest, *limit);
        }
    }
}

bool overlapping_attempts_allowed(const Settings& settings) {
    const auto setting = settings.find("allowed.overlap");
    return setting != settings.end() && setting->second != Setting{0.0};
}

bool endpoint_list_is_pushed(const Settings& settings) {
    const auto mode = settings.find("list.told");
    return mode == settings.end() || mode->second != Setting{"asked"};
}

std::size_t allowed_descriptors(std::size_t configured) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return configured;
    }
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    if (configured == 0) {
        return limit.rlim_max;
    }
    return std::min<std::size_t>(configured, limit.rlim_max);
}

// 64-bit FNV-1a.
ObjectKey object_key_of(std::string_view record) {
    constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    std::uint64_t hash = kOffsetBasis;
    for (const char c : record) {
        hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    return {hash};
}

}  // namespace tideline::net
