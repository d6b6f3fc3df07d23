// One TCP connection: its descriptor and a ring buffer each way. All calls come from the event
// loop's thread.
#pragma once

#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/ring_buffer.hpp"

namespace tideline::net {

// An IPv4 address and a port.
struct Address {
    std::uint32_t host = 0;  // as on the wire
    std::uint16_t port = 0;  // as on the wire
    bool operator==(const Address&) const = default;
};
// host:port in digits; nothing if the text is anything else.
std::optional<Address> address_of(const std::string& text);
std::string text_of(const Address& address);
// A socket that listens at the address; none, with errno set, where that fails.
FileDescriptor listen_at(const Address& address);

// The base of all connections. The protected callbacks come from the loop, never from within a call
// of the owner; a failure of any call is reported by ended().
class TcpConnection : public Watcher {
  public:
    // `max_unread_bytes`: bytes that are held unread at most.
    explicit TcpConnection(EventLoop& loop, std::size_t max_unread_bytes = kMaxBufferBytes)
        : loop_(loop), in_(max_unread_bytes) {}
    ~TcpConnection() override {
        close();
    }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Connects. `from`: the local host, as on the wire; 0: any.
    void open(const Address& address, std::uint32_t from = 0);
    // Takes over the descriptor of an accepted connection.
    void adopt(int fd);
    // Writes at once as far as possible, the rest when there is room.
    void put(std::string_view bytes);
    // Ends the sending direction once everything is written.
    void finish();
    void close();
    bool up() const {
        return fd_.valid() && !connecting_;
    }
    bool closed() const {
        return !fd_.valid();
    }
    bool all_written() const {
        return out_.empty();
    }
    // As on the wire; 0 if there is none.
    std::uint32_t peer_host() const;
    // Whether the peer has closed the connection, or sent something that was not read yet.
    bool peer_closed();
    void ready(short events) override;

  protected:
    // The connection is up.
    virtual void on_connected() {}
    // in_ holds bytes.
    virtual void on_received() = 0;
    // Everything that was put is written.
    virtual void on_written() {}
    // The peer closed the connection, or it failed; it is closed before the call.
    virtual void on_closed() = 0;
    // Whether the peer's close counts at once, though bytes before it wait unread for room in in_.
    virtual bool reports_close_while_full() const {
        return false;
    }
    // Acknowledges what was read without waiting for something to send with it: a peer that holds
    // back small writes until then sends them now.
    void acknowledge_at_once();
    // Calls on_received() for what in_ still holds.
    void receive_again();
    // Leaves everything unread that still comes.
    void stop_reading();

    EventLoop& loop_;
    RingBuffer in_;
    RingBuffer out_;

  private:
    void write_out();
    void read_in();
    void report_failure();
    void update_events();
    FileDescriptor fd_;
    bool connecting_ = false;
    bool finished_ = false;
    bool failed_ = false;           // it failed, and on_closed() is about to be called
    bool reading_stopped_ = false;  // nothing more is read
    Timers::Id failure_timer_ = Timers::kNone;
};

}  // namespace tideline::net
