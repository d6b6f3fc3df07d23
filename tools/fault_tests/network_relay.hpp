// The network between the members of a test: members connect to each other at addresses of the
// relay, which forwards the bytes. It knows the sender by its address, so each direction of each
// pair can be cut or delayed. Bytes on a cut link are queued, as on a network that goes silent, and
// delivered once it heals.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "net/listener.hpp"

namespace tideline::fault_tests {

constexpr int kClusterPort = 7800;
// Networks of this run: host i of the one is dialled, of the other listens.
constexpr int kDialedNetwork = 2;
constexpr int kListenNetwork = 1;

// Used on the thread of the event loop, which must outlive it.
class NetworkRelay {
  public:
    // Listens for members first to first + members - 1; throws std::runtime_error where it can't.
    NetworkRelay(net::EventLoop& loop, int members, int first = 1);
    ~NetworkRelay();
    using Direction = std::pair<int, int>;  // from, to; members count from 1
    void cut(Direction direction) {
        cut_links_.insert(direction);
    }
    // Bytes that arrive from now on are forwarded `by` seconds later.
    void delay(Direction direction, Seconds duration) {
        delays_[direction] = duration;
    }
    void heal();  // all directions; queued bytes are delivered, delays end
    void heal(Direction direction);
    bool is_cut(Direction direction) const {
        return cut_links_.contains(direction);
    }

  private:
    class ConnectionEnd;
    struct RelayedConnection;
    void accept_connection(int to, int fd);
    void forward_bytes(RelayedConnection& connection, bool forward);
    void drop_connection(RelayedConnection* connection);
    void forward_all();
    net::EventLoop& loop_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::map<RelayedConnection*, std::unique_ptr<RelayedConnection>> connections_;
    std::set<Direction> cut_links_;
    std::map<Direction, Seconds> delays_;
};

}  // namespace tideline::fault_tests
