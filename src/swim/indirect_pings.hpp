// Pings that this member sends on behalf of others whose own pings were not answered.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::swim {

struct IndirectPing {
    cluster::Name requester;
    cluster::PingId requested_id;  // id of the requester's ping
    Seconds deadline = 0;          // deadline of the target's answer
};

class IndirectPings {
  public:
    // `id` is that of the ping that this member sent to the target.
    void add(const cluster::PingId& id, const IndirectPing& ping) {
        pings_[id] = ping;
    }
    // Removes and returns the ping with that id, which was answered; std::nullopt if none is
    // waiting.
    std::optional<IndirectPing> take(const cluster::PingId& id) {
        const auto it = pings_.find(id);
        if (it == pings_.end()) {
            return std::nullopt;
        }
        const IndirectPing ping = it->second;
        pings_.erase(it);
        return ping;
    }
    // Removes and returns the pings whose deadline has passed.
    std::vector<IndirectPing> take_expired(Seconds now) {
        std::vector<IndirectPing> expired;
        for (auto it = pings_.begin(); it != pings_.end();) {
            if (now < it->second.deadline) {
                ++it;
                continue;
            }
            expired.push_back(it->second);
            it = pings_.erase(it);
        }
        return expired;
    }
    // Returns the earliest deadline, or `latest` if that is earlier.
    Seconds next_deadline(Seconds latest) const {
        Seconds next = latest;
        for (const auto& [id, ping] : pings_) {
            next = std::min(next, ping.deadline);
        }
        return next;
    }

  private:
    std::map<cluster::PingId, IndirectPing> pings_;
};

}  // namespace tideline::swim
