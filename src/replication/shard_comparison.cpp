#include "replication/shard_comparison.hpp"

#include <array>
#include <set>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "replication/replica_limits.hpp"

namespace tideline::replication {

Digests digests_of(const Records& records) {
    Digests digests{};
    for (const auto& [key, record] : records) {
        const std::array<std::uint64_t, 4> parts{
            key.value[0], key.value[1], record.version.table_version.value, record.version.step};
        digests[range_of(key)] ^= XXH3_64bits(parts.data(), sizeof parts);
    }
    return digests;
}

ShardDifferences find_differences(Seconds now, const Records& records, const Digests& theirs) {
    ShardDifferences all;
    const Digests own = digests_of(records);
    for (std::size_t i = 0; i < own.size(); ++i) {
        if (own[i] != theirs[i]) {
            all.ranges.push_back(i);
        }
    }
    for (const auto& [key, record] : records) {
        if (own[range_of(key)] != theirs[range_of(key)]) {
            const bool expires_soon = record.expires_at < now + kMaxExpirySkew;
            all.key_versions.push_back({key, record.version, expires_soon});
        }
    }
    return all;
}

std::vector<Key> keys_to_send(const Records& records, const std::vector<std::size_t>& ranges,
                              const std::vector<KeyVersion>& key_versions) {
    std::map<Key, Version> versions;
    for (const KeyVersion& each : key_versions) {
        versions[each.key] = each.version;
    }
    const std::set<std::size_t> differing(ranges.begin(), ranges.end());
    std::vector<Key> keys;
    for (const auto& [key, record] : records) {
        if (!differing.contains(range_of(key))) {
            continue;
        }
        const auto version = versions.find(key);
        if (version == versions.end() || version->second < record.version) {
            keys.push_back(key);
        }
    }
    return keys;
}

}  // namespace tideline::replication
