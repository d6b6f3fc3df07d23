// The TCP server that the fakes share: a listener that owns its connections until their peers close
// them.
#pragma once

#include <map>
#include <memory>

#include "fakes/loopback.hpp"
#include "net/listener.hpp"

namespace tideline::fakes {

// Connection is a net::TcpConnection that is constructed from (EventLoop&, Owner&, int number).
template <class Connection, class Owner>
class Server {
  public:
    Server(net::EventLoop& loop, Owner& owner)
        : loop_(loop), owner_(owner), listener_(loop, [this](int fd) { on_accepted(fd); }) {}
    bool listen(const net::Address& address) {
        return listener_.listen(address);
    }
    // Stops listening and closes all connections, as if the process had died.
    void close() {
        listener_.close();
        for (auto& [number, connection] : connections_) {
            connection->close();
            loop_.destroy_after_pass(std::move(connection));
        }
        connections_.clear();
    }
    bool open() const {
        return listener_.open();
    }
    // Closes one connection; has no effect if it has ended already.
    void drop(int number) {
        const auto it = connections_.find(number);
        if (it == connections_.end()) {
            return;
        }
        it->second->close();
        loop_.destroy_after_pass(std::move(it->second));
        connections_.erase(it);
    }
    // Invokes `call` with each connection; `call` may drop that connection.
    template <class Call>
    void for_each_connection(Call call) {
        for (auto it = connections_.begin(); it != connections_.end();) {
            call(*(it++)->second);
        }
    }
    std::size_t size() const {
        return connections_.size();
    }

  private:
    void on_accepted(int fd) {
        const int number = next_number_++;
        auto connection = std::make_unique<Connection>(loop_, owner_, number);
        connection->adopt(fd);
        connections_.emplace(number, std::move(connection));
    }
    net::EventLoop& loop_;
    Owner& owner_;
    net::Listener listener_;
    std::map<int, std::unique_ptr<Connection>> connections_;
    int next_number_ = 0;
};

}  // namespace tideline::fakes
