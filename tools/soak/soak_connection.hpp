// The connection of a soak client to the sidecar. It uses its own socket rather than
// net::TcpConnection, because it has to tell whether the sidecar closed the connection before or
// after it had read the request.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::soak {

// A piece of a message, which is sent after a pause.
struct Piece {
    Seconds pause = 0;
    std::string bytes;
};

class SoakConnection : public net::Watcher {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // The sidecar has completed the startup or an answer: the next request may be sent.
        virtual void on_connection_free(int number) = 0;
        // The last byte of the request was written.
        virtual void on_request_sent(int number) = 0;
        // A final answer has arrived: a value, or an error, for which `value` is null.
        virtual void on_request_answered(int number, const std::string* value) = 0;
        // The connection has ended. `unread`: the sidecar had not read all that was sent.
        virtual void on_connection_ended(int number, bool unread) = 0;
    };
    // Connects; `owner` and `loop` must outlive this object.
    SoakConnection(net::EventLoop& loop, Owner& owner, int number, const net::Address& sidecar);
    ~SoakConnection() override;
    SoakConnection(const SoakConnection&) = delete;
    SoakConnection& operator=(const SoakConnection&) = delete;

    // Sends the pieces in their order; the connection has to be free.
    void send(std::deque<Piece> pieces);
    void close();
    void finish_sending();
    bool is_free() const {
        return free_ && fd_.valid();
    }

  private:
    void ready(short events) override;
    void send_next_piece();
    void read();
    void process_messages();
    void end_connection(bool unread);

    net::EventLoop& loop_;
    Owner& owner_;
    const int number_;
    net::FileDescriptor fd_;
    std::string in_;
    std::deque<Piece> pieces_;
    bool connecting_ = true;
    bool startup_done_ = false;
    bool free_ = false;
    bool reset_ = false;  // sending a piece failed because the connection was reset
    std::string value_;
    net::Timers::Id piece_timer_ = net::Timers::kNone;
    net::Timers::Id end_timer_ = net::Timers::kNone;
};

}  // namespace tideline::soak
