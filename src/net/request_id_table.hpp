// Table of the request ids that may not be used again yet. A client that has lost its connection
// may send its request once more with the same id: a request that may have run must not run twice.
// Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string_view>

#include "net/client_connection.hpp"

namespace tideline::net {

// Stands for an id; an id may be long.
using RequestIdDigest = std::uint64_t;

// An id is in one of three states: its request is open; its request was answered, and the client
// that got the answer is still connected and has sent nothing since; or it is remembered, because
// that client, or one that did not wait for the answer, has disconnected.
class RequestIdTable {
  public:
    // Reserves the id for an open request of the client, which has thereby received its previous
    // answer. Returns nothing if the id may not be used yet.
    std::optional<RequestIdDigest> reserve(ClientId client, std::string_view id, Seconds now);
    // Makes the id free: its request has not run.
    void release(RequestIdDigest id) {
        taken_.erase(id);
    }
    // The request was answered, and its client is still connected.
    void answered(RequestIdDigest id, ClientId client);
    // The request may have run, and its client has disconnected.
    void remember(RequestIdDigest id, Seconds now);
    // The client has disconnected: its last answer may not have reached it.
    void client_disconnected(ClientId client, Seconds now);
    // Number of the ids that are remembered.
    std::size_t remembered_count() const {
        return remembered_.size();
    }

  private:
    struct RememberedId {
        RequestIdDigest id;
        Seconds since;
    };
    void forget_oldest();

    std::set<RequestIdDigest> taken_;  // ids in any state
    std::map<ClientId, RequestIdDigest> last_answered_;
    std::deque<RememberedId> remembered_;  // oldest first
};

}  // namespace tideline::net
