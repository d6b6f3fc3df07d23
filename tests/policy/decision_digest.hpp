// A digest of the calls that the routing policy makes on its host.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace tideline::test {

class Digest {
  public:
    Digest() {
        XXH64_reset(state_, 0);
    }
    ~Digest() {
        XXH64_freeState(state_);
    }
    Digest(const Digest&) = delete;
    Digest& operator=(const Digest&) = delete;
    template <class... Parts>
    void add(Parts... parts) {
        (add_one(parts), ...);
    }
    std::uint64_t value() const {
        return XXH64_digest(state_);
    }

  private:
    void add_one(const std::string& text) {
        XXH64_update(state_, text.data(), text.size() + 1);
    }
    template <class Number>
    void add_one(Number number) {
        XXH64_update(state_, &number, sizeof number);
    }

    XXH64_state_t* state_ = XXH64_createState();
};

}  // namespace tideline::test
