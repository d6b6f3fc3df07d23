// Settings that the sidecar itself reads, apart from those of the routing policy.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "policy/records.hpp"
#include "policy/types.hpp"

namespace tideline::net {

using RequestClassesByName = std::map<std::string, RequestClass, std::less<>>;
using TenantsByName = std::map<std::string, TenantId, std::less<>>;

// The request classes and the tenants of the settings, by name.
RequestClassesByName request_classes_of(const Settings& settings);
TenantsByName tenants_of(const Settings& settings);
// The request classes that must not take effect twice, with the effect that tells how repeats are
// recognised.
std::map<RequestClass, Effect> guarded_effects_of(const Settings& settings,
                                                  const RequestClassesByName& request_classes);
// The longest time limit of all request classes, s.
Seconds longest_time_limit(const Settings& settings);
// Returns whether two attempts of one request may be in flight at the same time.
bool overlapping_attempts_allowed(const Settings& settings);
// Returns whether discovery pushes changes without being asked. Pushed changes also arrive over a
// watch, but the routing policy requests a watch only for a list that is not pushed, so for a
// pushed list the sidecar opens the watch itself.
bool endpoint_list_is_pushed(const Settings& settings);

// Raises the descriptor limit of the process as far as allowed and returns how many descriptors the
// sidecar may use. `configured` is 0 if the configuration sets no limit.
std::size_t allowed_descriptors(std::size_t configured);
// Hashes the name of a record. The result is the same in every process.
ObjectKey object_key_of(std::string_view record);

}  // namespace tideline::net
