// Simulates network faults between the members of a test. Members connect to addresses of the
// relay, which forwards the bytes to the member addressed. The relay identifies the sender by its
// IP address, so each direction of each pair of members can be cut or delayed. Bytes on a cut link
// are queued, as on a network that drops packets without closing connections, and delivered once
// the link heals.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "net/listener.hpp"

namespace tideline::fault_tests {

constexpr int kClusterPort = 7800;
// The loopback networks of a test, as numbers for fakes::at_port: host i of the first is the
// relay's address for member i, host i of the second is where the member listens.
constexpr int kDialedNetwork = 2;
constexpr int kListenNetwork = 1;

// Must be used on the thread of the event loop, which must outlive the relay.
class NetworkRelay {
  public:
    // Listens on behalf of the members first to first + members - 1. Throws std::runtime_error if
    // it can't.
    NetworkRelay(net::EventLoop& loop, int members, int first = 1);
    ~NetworkRelay();
    using Direction = std::pair<int, int>;  // from, to; members are numbered from 1
    // Queues the bytes of this direction until it heals.
    void cut(Direction direction) {
        cut_links_.insert(direction);
    }
    // Delays the bytes that arrive from now on by `duration`.
    void delay(Direction direction, Seconds duration) {
        delays_[direction] = duration;
    }
    // Heals all links: queued bytes are delivered, and delays end.
    void heal();
    // Heals one direction: its queued bytes are delivered, and its delay ends.
    void heal(Direction direction);
    bool is_cut(Direction direction) const {
        return cut_links_.contains(direction);
    }

  private:
    // One of the two TCP connections of a relayed connection.
    class ConnectionEnd;
    struct RelayedConnection;
    void accept_connection(int to, int fd);
    // Takes what one end received and sends on what is due, unless the direction is cut.
    void forward_bytes(RelayedConnection& connection, bool forward);
    // Closes both ends of a relayed connection.
    void drop_connection(RelayedConnection* connection);
    // Forwards on all connections the bytes that are due.
    void forward_all();
    net::EventLoop& loop_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::map<RelayedConnection*, std::unique_ptr<RelayedConnection>> connections_;
    std::set<Direction> cut_links_;
    std::map<Direction, Seconds> delays_;
};

}  // namespace tideline::fault_tests
