#include "fault_tests/network_relay.hpp"

#include <arpa/inet.h>

#include <deque>

#include "fakes/server.hpp"

namespace tideline::fault_tests {

class NetworkRelay::ConnectionEnd : public net::TcpConnection {
  public:
    ConnectionEnd(NetworkRelay& relay, RelayedConnection& connection, bool is_outbound)
        : TcpConnection(relay.loop_),
          relay_(relay),
          connection_(connection),
          is_outbound_(is_outbound) {}
    std::string take_received() {
        const std::string bytes(in_.all());
        in_.drop(bytes.size());
        return bytes;
    }

  protected:
    void on_received() override {
        relay_.forward_bytes(connection_, !is_outbound_);
    }
    void on_closed() override {
        relay_.drop_connection(&connection_);
    }

  private:
    NetworkRelay& relay_;
    RelayedConnection& connection_;
    const bool is_outbound_;  // whether the relay opened it, to the member addressed
};

// A connection that member `from` opened to member `to`, with the queued bytes of both directions.
struct NetworkRelay::RelayedConnection {
    // Bytes that are forwarded at `due` at the earliest.
    struct DelayedBytes {
        Seconds due;
        std::string bytes;
    };
    int from = 0;
    int to = 0;
    std::unique_ptr<ConnectionEnd> inbound;
    std::unique_ptr<ConnectionEnd> outbound;
    std::deque<DelayedBytes> forward;
    std::deque<DelayedBytes> back;
    net::Timers::Id next_forward = net::Timers::kNone;
    net::Timers::Id next_back = net::Timers::kNone;
};

NetworkRelay::NetworkRelay(net::EventLoop& loop, int members, int first) : loop_(loop) {
    for (int to = first; to < first + members; ++to) {
        listeners_.push_back(std::make_unique<net::Listener>(
            loop, [this, to](int fd) { accept_connection(to, fd); }));
        if (!listeners_.back()->listen(fakes::at_port(to, kClusterPort, kDialedNetwork))) {
            throw std::runtime_error("the relay can't listen on its addresses");
        }
    }
}
NetworkRelay::~NetworkRelay() {
    for (auto& [key, connection] : connections_) {
        loop_.timers.cancel(connection->next_forward);
        loop_.timers.cancel(connection->next_back);
    }
}

void NetworkRelay::accept_connection(int to, int fd) {
    auto new_connection = std::make_unique<RelayedConnection>();
    RelayedConnection& connection = *new_connection;
    connections_.emplace(&connection, std::move(new_connection));
    connection.to = to;
    connection.inbound = std::make_unique<ConnectionEnd>(*this, connection, false);
    connection.inbound->adopt(fd);
    const std::uint32_t host = connection.inbound->peer_host();
    if ((ntohl(host) >> 16U) == fakes::loopback_prefix(kDialedNetwork)) {
        connection.from = static_cast<int>(ntohl(host) & 0xffff);
    }
    connection.outbound = std::make_unique<ConnectionEnd>(*this, connection, true);
    connection.outbound->open(fakes::at_port(to, kClusterPort, kListenNetwork), host);
}

void NetworkRelay::forward_bytes(RelayedConnection& connection, bool forward) {
    ConnectionEnd& from = forward ? *connection.inbound : *connection.outbound;
    const Direction direction = forward ? Direction{connection.from, connection.to}
                                        : Direction{connection.to, connection.from};
    auto& waiting = forward ? connection.forward : connection.back;
    if (std::string bytes = from.take_received(); !bytes.empty()) {
        const auto delay = delays_.find(direction);
        waiting.push_back(
            {net::clock_now() + (delay == delays_.end() ? 0 : delay->second), std::move(bytes)});
    }
    if (is_cut(direction)) {
        return;
    }
    ConnectionEnd& to = forward ? *connection.outbound : *connection.inbound;
    while (!waiting.empty() && waiting.front().due <= net::clock_now()) {
        to.put(waiting.front().bytes);
        waiting.pop_front();
    }
    net::Timers::Id& next = forward ? connection.next_forward : connection.next_back;
    if (waiting.empty() || next != net::Timers::kNone) {
        return;
    }
    next = loop_.timers.at(waiting.front().due, [this, &connection, &next, forward] {
        next = net::Timers::kNone;
        forward_bytes(connection, forward);
    });
}
void NetworkRelay::forward_all() {
    for (auto& [key, connection] : connections_) {
        forward_bytes(*connection, true);
        forward_bytes(*connection, false);
    }
}
void NetworkRelay::heal() {
    cut_links_.clear();
    delays_.clear();
    forward_all();
}
void NetworkRelay::heal(Direction direction) {
    cut_links_.erase(direction);
    delays_.erase(direction);
    forward_all();
}

void NetworkRelay::drop_connection(RelayedConnection* connection) {
    const auto it = connections_.find(connection);
    if (it == connections_.end()) {
        return;
    }
    loop_.timers.cancel(connection->next_forward);
    loop_.timers.cancel(connection->next_back);
    for (auto* end : {&connection->inbound, &connection->outbound}) {
        if (*end) {
            (*end)->close(), loop_.destroy_after_pass(std::move(*end));
        }
    }
    connections_.erase(it);
}

}  // namespace tideline::fault_tests
