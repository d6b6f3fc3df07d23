// Keys of the replicated records: the effects of requests, and a member's audit epochs.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "replication/types.hpp"

namespace tideline::cluster {

// Returns a digest of all parts, each with its length, so that different parts that concatenate to
// the same text have different keys.
replication::Key key_of(std::initializer_list<std::string_view> parts);
// Returns the key of the epoch `number` that the member sealed in this incarnation.
replication::Key key_of_epoch(const Name& member, std::uint64_t incarnation, std::uint64_t number);
// Returns the key of the list of the member's incarnations, each with its last sealed epoch.
replication::Key key_of_seals(const Name& member);

}  // namespace tideline::cluster
