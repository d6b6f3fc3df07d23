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
    // Calls `call` once in this pass or the next one, after all input that has arrived was read.
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
    // Makes the call that is due first, which may make others due. Returns false if none is due.
    bool run_next(Seconds now) {
        if (next() > now) {
            return false;
        }
        auto node = calls_.extract(calls_.begin());
        node.mapped()();
        return true;
    }

  private:
    std::map<Id, std::function<void()>> calls_;
    std::uint64_t last_serial_ = 0;
};

}  // namespace tideline::net
