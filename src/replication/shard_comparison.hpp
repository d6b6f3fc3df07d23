// Compares the records of a shard at two members, by digests of ranges of its keys and then by the
// versions of the keys in the ranges that differ. Pure functions.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "replication/types.hpp"

namespace tideline::replication {

using Records = std::map<Key, Record>;

// How a backup differs from its primary.
struct ShardDifferences {
    std::vector<std::size_t> ranges;       // whose digests differ
    std::vector<KeyVersion> key_versions;  // of all keys of the backup in these ranges
};

// Digests of keys and versions, one for each range of keys.
Digests digests_of(const Records& records);
// The backup's side. `theirs`: the digests of the primary.
ShardDifferences find_differences(Seconds now, const Records& records, const Digests& theirs);
// The primary's side: its keys in `ranges` of which the backup has nothing, or an older version.
std::vector<Key> keys_to_send(const Records& records, const std::vector<std::size_t>& ranges,
                              const std::vector<KeyVersion>& key_versions);

}  // namespace tideline::replication
