// Table of the memory that clients take up for one purpose, such as incomplete messages.
#pragma once

#include <cstddef>
#include <map>

#include "net/client_connection.hpp"

namespace tideline::net {

class ClientMemoryTable {
  public:
    // Records how many bytes the client takes up now; 0 removes it.
    void set(ClientId client, std::size_t bytes) {
        erase(client);
        if (bytes > 0) {
            bytes_.emplace(client, bytes);
            total_ += bytes;
        }
    }
    void erase(ClientId client) {
        const auto found = bytes_.find(client);
        if (found == bytes_.end()) {
            return;
        }
        total_ -= found->second;
        bytes_.erase(found);
    }
    // Sum over all clients, in bytes.
    std::size_t total() const {
        return total_;
    }
    // The clients that take up any memory, with the bytes of each. Empty only if total() is 0.
    const std::map<ClientId, std::size_t>& clients() const {
        return bytes_;
    }

  private:
    std::map<ClientId, std::size_t> bytes_;
    std::size_t total_ = 0;
};

}  // namespace tideline::net
