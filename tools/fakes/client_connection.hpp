// The connection of a simulated client to a sidecar, which sends one statement at a time and
// reports its result.
#pragma once

#include <functional>
#include <string>

#include "net/tcp_connection.hpp"

namespace tideline::fakes {

// The result of a request as its client saw it.
enum class CallResult {
    nothing,    // no answer has arrived
    succeeded,  // answered with a value
    rejected,   // shed: the sidecar promises that the request has no effect
    failed,     // an error: the request may have run
    wrong       // answered with the value of another request
};

// Connects on construction. Owned by its client; used only on the thread of the event loop.
class ClientConnection : public net::TcpConnection {
  public:
    // Called with the value, or for an error with its retry-after time as text. It is called twice
    // if the sidecar answers twice, which the checks then report.
    using OnAnswer = std::function<void(CallResult result, const std::string& answer)>;
    ClientConnection(net::EventLoop& loop, const net::Address& sidecar,
                     std::function<void(ClientConnection*)> on_ended);
    // Whether the connection is open and no statement waits for its answer.
    bool idle() const {
        return !busy_ && !closed();
    }
    // Sends a statement; the connection has to be idle.
    void send(const std::string& statement, OnAnswer on_answer);

  private:
    void on_received() override;
    void on_closed() override {
        on_ended_(this);
    }
    std::function<void(ClientConnection*)> on_ended_;
    OnAnswer on_answer_;
    bool busy_ = false;
    bool has_answer_ = false;
};

}  // namespace tideline::fakes
