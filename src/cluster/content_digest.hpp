// Digests of the state that members act on. Two members that act on the same content compute the
// same digest.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdint>
#include <string>

namespace tideline::cluster {

// Chained XXH3 over the values in the order in which they are added. The bytes of a value are
// hashed as they are in memory: members of one fleet run on machines of the same byte order.
class ContentDigest {
  public:
    template <class Value>
    void add(const Value& value) {
        digest_ = XXH3_64bits_withSeed(&value, sizeof value, digest_);
    }
    void add(const std::string& value) {
        digest_ = XXH3_64bits_withSeed(value.data(), value.size(), digest_ + value.size());
    }
    std::uint64_t value() const {
        return digest_;
    }

  private:
    std::uint64_t digest_ = 0;
};

}  // namespace tideline::cluster
