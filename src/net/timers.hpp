// The timers of the event loop in the order in which they are due, and the calls that are deferred
// to the end of the pass. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

#include "policy/types.hpp"

namespace tideline::net {

class Timers {
  public:
    using Id = std::pair<Seconds, std::uint64_t>;  // due time (s) and a serial number
    static constexpr Id kNone{-1, 0};

    // Calls `call` once at time `when`, which is on the clock of clock_now().
    Id at(Seconds when, std::function<void()> call) {
        const Id id{when, ++last_serial_};
        calls_.emplace(id, std::move(call));
        return id;
    }
    // Calls `call` once in this pass, after all input that has arrived was read.
    Id soon(std::function<void()> call) {
        return at(0, std::move(call));
    }
    // Cancels the call, unless it was made already, and sets the id to kNone.
    void cancel(Id& id) {
        calls_.erase(id);
        id = kNone;
    }
    // The due time of the next call; infinity if there is none.
    Seconds next() const {
        return calls_.empty() ? std::numeric_limits<double>::infinity()
                              : calls_.begin()->first.first;
    }
    // Makes all calls that are due, including those that become due meanwhile.
    void run(Seconds now) {
        while (!calls_.empty() && calls_.begin()->first.first <= now) {
            auto node = calls_.extract(calls_.begin());
            node.mapped()();
        }
    }

  private:
    std::map<Id, std::function<void()>> calls_;
    std::uint64_t last_serial_ = 0;
};

}  // namespace tideline::net
