// Compares the records of a shard at two members: first by the digests of ranges of keys, then by
// the versions of the keys in the ranges that differ. All functions are pure.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "replication/types.hpp"

namespace tideline::replication {

using Records = std::map<Key, Record>;

// Differences of a backup from its primary.
struct ShardDifferences {
    std::vector<std::size_t> ranges;       // ranges whose digests differ
    std::vector<KeyVersion> key_versions;  // versions of all keys of the backup in these ranges
};

// Computes one digest of keys and versions per range of keys.
Digests digests_of(const Records& records);
// Computed by the backup. `theirs` are the digests of the primary.
ShardDifferences find_differences(Seconds now, const Records& records, const Digests& theirs);
// Computed by the primary: returns its keys in `ranges` that the backup lacks or has in an older
// version.
std::vector<Key> keys_to_send(const Records& records, const std::vector<std::size_t>& ranges,
                              const std::vector<KeyVersion>& key_versions);

}  // namespace tideline::replication
