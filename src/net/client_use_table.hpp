// Table of the current use of each client's connection and of the time since when it has had that
// use. Gives the order in which connections are closed to make room.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "net/client_connection.hpp"

namespace tideline::net {

class ClientUseTable {
  public:
    // The use, the time since when it has lasted (s), and the client's number.
    using Candidate = std::tuple<ClientUse, Seconds, std::uint64_t>;

    // Records the use of the client's connection from `now` on.
    void set(ClientId client, ClientUse use, Seconds now) {
        erase(client);
        uses_[client.value] = {use, now};
        idle_count_ += use == ClientUse::idle ? 1 : 0;
        if (use != ClientUse::needed) {
            candidates_.insert({use, now, client.value});
        }
    }
    void erase(ClientId client) {
        const auto found = uses_.find(client.value);
        if (found == uses_.end()) {
            return;
        }
        const auto [use, since] = found->second;
        candidates_.erase({use, since, client.value});
        idle_count_ -= use == ClientUse::idle ? 1 : 0;
        uses_.erase(found);
    }
    // The time since when the connection has had its current use. The client must be in the table.
    Seconds since(ClientId client) const {
        return uses_.at(client.value).second;
    }
    long idle_count() const {
        return idle_count_;
    }
    int count(ClientUse use) const {
        int count = 0;
        for (const auto& [client, entry] : uses_) {
            count += entry.first == use ? 1 : 0;
        }
        return count;
    }
    // Connections that may be closed, in the order in which to close them: silent ones first, then
    // those with an incomplete message, then idle ones; within each use, the longest-lasting first.
    const std::set<Candidate>& candidates() const {
        return candidates_;
    }

  private:
    // The use and the time since when it has lasted, by client.
    std::map<std::uint64_t, std::pair<ClientUse, Seconds>> uses_;
    std::set<Candidate> candidates_;
    long idle_count_ = 0;
};

}  // namespace tideline::net
