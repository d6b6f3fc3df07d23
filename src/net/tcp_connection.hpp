// A TCP connection: its descriptor and a ring buffer for each direction. All calls must come from
// the event loop's thread.
#pragma once

#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "net/file_descriptor.hpp"
#include "net/ring_buffer.hpp"

namespace tideline::net {

// An IPv4 address and a port.
struct Address {
    std::uint32_t host = 0;  // in network byte order
    std::uint16_t port = 0;  // in network byte order
    bool operator==(const Address&) const = default;
};
// Parses and formats host:port, with an IPv4 host in dotted digits. address_of() returns nothing
// for any other text.
std::optional<Address> address_of(const std::string& text);
std::string text_of(const Address& address);
// Returns a socket that listens at the address; on failure an empty descriptor, with errno set.
FileDescriptor listen_at(const Address& address);

// What close() does with output that the kernel still holds: it goes on delivering it, or discards
// it and resets the connection.
enum class OutputAtClose { deliver, discard };

// The base class of all connections. The protected callbacks are called from the event loop, never
// from within a call of the owner. The failure of any call is reported by on_closed().
class TcpConnection : public Watcher {
  public:
    // `max_unread_bytes` limits the input that is held unread.
    explicit TcpConnection(EventLoop& loop, std::size_t max_unread_bytes = kMaxBufferBytes,
                           OutputAtClose output_at_close = OutputAtClose::deliver)
        : loop_(loop), in_(max_unread_bytes), output_at_close_(output_at_close) {}
    ~TcpConnection() override {
        close();
    }
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Starts to connect. `from` is the local host to bind to, in network byte order; 0 for any.
    void open(const Address& address, std::uint32_t from = 0);
    // Takes ownership of the descriptor of an accepted connection.
    void adopt(int fd);
    // Writes as much as possible at once and the rest when the socket accepts it.
    void put(std::string_view bytes);
    // Shuts down the sending direction after everything has been written.
    void finish();
    void close();
    bool up() const {
        return fd_.valid() && !connecting_;
    }
    bool closed() const {
        return !fd_.valid();
    }
    // Returns whether the kernel has taken all output.
    bool all_written() const {
        return out_.empty();
    }
    // Returns whether the peer's machine has acknowledged all output; if the kernel does not tell,
    // whether the kernel has taken it.
    bool all_delivered() const;
    // The peer's host in network byte order; 0 if there is none.
    std::uint32_t peer_host() const;
    // Returns whether the peer has closed the connection or sent something that has not been read
    // yet.
    bool peer_closed();
    // Asks the kernel whether the peer has closed the connection or the connection has failed, also
    // while earlier input is still unread. If so, on_closed() follows from the event loop.
    bool detect_close();
    // The time in seconds since the latest input arrived, read or unread, as the kernel counts it;
    // 0 if the kernel does not tell.
    Seconds latest_input_age() const;
    void ready(short events) override;

  protected:
    // The connection is established.
    virtual void on_connected() {}
    // `in_` holds input.
    virtual void on_received() = 0;
    // `in_` holds input, and the peer's close was read together with it.
    virtual void on_received_with_close() {
        on_received();
    }
    // Returns whether output that the socket did not accept at once may be written further.
    virtual bool may_continue_writing() {
        return true;
    }
    // The socket has accepted a part of the pending output, or all of it.
    virtual void on_write_progress() {}
    // All pending output has been written.
    virtual void on_written() {}
    // The peer closed the connection, or the connection failed. It is already closed when this is
    // called.
    virtual void on_closed() = 0;
    // Returns whether the peer's close is reported at once even if earlier input is still unread
    // because `in_` is full.
    virtual bool reports_close_while_full() const {
        return false;
    }
    // Acknowledges received data at once instead of waiting for data to send along with the
    // acknowledgement. A peer that delays small writes until then sends them now.
    void acknowledge_at_once();
    // Calls on_received() for the input that is still in `in_`.
    void receive_again();
    // Stops reading: further input stays in the kernel's buffer.
    void stop_reading();

    EventLoop& loop_;
    RingBuffer in_;
    RingBuffer out_;

  private:
    void write_out();
    void read_in();
    void report_failure();
    void update_events();
    void discard_undelivered_output();
    FileDescriptor fd_;
    const OutputAtClose output_at_close_;
    bool connecting_ = false;
    bool finished_ = false;
    bool failed_ = false;           // the connection failed, and on_closed() will be called
    bool reading_stopped_ = false;  // stop_reading() was called
    Timers::Id failure_timer_ = Timers::kNone;
};

}  // namespace tideline::net
