// A client's connection to the sidecar, on a socket of its own: it has to tell an end before the
// request was read from one after it, which a closed connection does not show.
#pragma once

#include <deque>
#include <functional>
#include <string>

#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::soak {

// One piece of what is sent, after a pause.
struct Piece {
    Seconds pause = 0;
    std::string bytes;
};

class SoakConnection : public net::Watcher {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // The sidecar has welcomed the client, or has answered whole: the next request may go out.
        virtual void connection_free(int number) = 0;
        // The last byte of the request was written.
        virtual void request_sent(int number) = 0;
        // A final answer: a value, or an error without one.
        virtual void request_answered(int number, const std::string* value) = 0;
        // The connection has ended. `unread`: the sidecar had not read all that was sent.
        virtual void connection_ended(int number, bool unread) = 0;
    };
    // Connects; `owner` and `loop` outlive this.
    SoakConnection(net::EventLoop& loop, Owner& owner, int number, const net::Address& sidecar);
    ~SoakConnection() override;
    SoakConnection(const SoakConnection&) = delete;
    SoakConnection& operator=(const SoakConnection&) = delete;

    // Sends the pieces in their order; the connection is free.
    void send(std::deque<Piece> pieces);
    void close();
    void finish_sending();
    bool free() const {
        return free_ && fd_.valid();
    }

  private:
    void ready(short events) override;
    void send_next();
    void read();
    void take_messages();
    void end(bool unread);

    net::EventLoop& loop_;
    Owner& owner_;
    const int number_;
    net::FileDescriptor fd_;
    std::string in_;
    std::deque<Piece> pieces_;
    bool connecting_ = true;
    bool welcomed_ = false;
    bool free_ = false;
    bool reset_ = false;  // a piece found the connection reset
    std::string value_;
    net::Timers::Id piece_timer_ = net::Timers::kNone;
    net::Timers::Id end_timer_ = net::Timers::kNone;
};

}  // namespace tideline::soak
