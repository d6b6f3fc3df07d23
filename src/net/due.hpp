// The one ordered structure in which all deadlines hang, and what is put off to the end of the pass.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

#include "words.hpp"

namespace tideline::net {

class Due {
  public:
    using Key = std::pair<Seconds, std::uint64_t>;  // when, and the order of asking
    static constexpr Key kNone{-1, 0};

    Key at(Seconds when, std::function<void()> call) {
        const Key key{when, ++asked_};
        calls_.emplace(key, std::move(call));
        return key;
    }
    // In this pass, after all that has arrived was read.
    Key soon(std::function<void()> call) { return at(0, std::move(call)); }
    void cancel(Key& key) {
        calls_.erase(key);
        key = kNone;
    }
    Seconds next() const {
        return calls_.empty() ? std::numeric_limits<double>::infinity() : calls_.begin()->first.first;
    }
    void run(Seconds now) {
        while (!calls_.empty() && calls_.begin()->first.first <= now) {
            auto node = calls_.extract(calls_.begin());
            node.mapped()();
        }
    }

  private:
    std::map<Key, std::function<void()>> calls_;
    std::uint64_t asked_ = 0;
};

}  // namespace tideline::net
