// Checksums of the rows of one shard, and their digest. They reveal rows that were altered, that
// are missing, or that were moved from another shard.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "replication/types.hpp"

namespace tideline::replication {

// Converts a key to the bytes that are stored in its row.
inline std::string bytes_of(const Key& key) {
    return {reinterpret_cast<const char*>(key.value.data()), sizeof key.value};
}
// Converts stored bytes to a key. Bytes of a wrong size give a key of zeros.
inline Key key_of(const std::string& bytes) {
    Key key;
    if (bytes.size() == sizeof key.value) {
        std::copy_n(bytes.data(), bytes.size(), reinterpret_cast<char*>(key.value.data()));
    }
    return key;
}

class ShardChecksums {
  public:
    void set_row(const Key& key, std::int64_t checksum) {
        std::int64_t& stored = rows_[key];
        digest_ ^= stored ^ checksum;
        stored = checksum;
    }
    void remove_row(const Key& key) {
        const auto row = rows_.find(key);
        if (row == rows_.end()) {
            return;
        }
        digest_ ^= row->second;
        rows_.erase(row);
    }
    // Whether the shard has a row with this key and checksum.
    bool has_row(const Key& key, std::int64_t checksum) const {
        const auto row = rows_.find(key);
        return row != rows_.end() && row->second == checksum;
    }
    // Digest of all checksums, independent of their order.
    std::int64_t digest() const {
        return digest_;
    }
    std::size_t size() const {
        return rows_.size();
    }

  private:
    std::map<Key, std::int64_t> rows_;
    std::int64_t digest_ = 0;
};

}  // namespace tideline::replication
