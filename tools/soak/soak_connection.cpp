#include "soak/soak_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net/postgres_protocol.hpp"

namespace tideline::soak {
namespace {

namespace pg = net::pg;

constexpr std::size_t kMaxAnswerBytes = 65536;
// s: the sidecar shuts down its sending side first and closes the socket half a second later. Only
// then does the kernel reset the connection, if something was left unread.
constexpr Seconds kResetTimeout = 0.8;
// In a DataRow with one column, the column count and the size precede the value.
constexpr std::size_t kDataRowHeaderBytes = 6;

}  // namespace

SoakConnection::SoakConnection(net::EventLoop& loop, Owner& owner, int number,
                               const net::Address& sidecar)
    : loop_(loop),
      owner_(owner),
      number_(number),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = sidecar.host;
    to.sin_port = sidecar.port;
    (void)::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
    loop_.watch(fd_.get(), this, POLLOUT);
}

SoakConnection::~SoakConnection() {
    close();
}

void SoakConnection::close() {
    loop_.timers.cancel(piece_timer_);
    loop_.timers.cancel(end_timer_);
    if (fd_.valid()) {
        loop_.unwatch(fd_.get());
        fd_.reset();
    }
}

void SoakConnection::finish_sending() {
    ::shutdown(fd_.get(), SHUT_WR);
}

void SoakConnection::send(std::deque<Piece> pieces) {
    free_ = false;
    pieces_ = std::move(pieces);
    send_next_piece();
}

void SoakConnection::send_next_piece() {
    piece_timer_ = loop_.timers.at(net::clock_now() + pieces_.front().pause, [this] {
        piece_timer_ = net::Timers::kNone;
        const std::string bytes = std::exchange(pieces_.front().bytes, {});
        pieces_.pop_front();
        // An error that send() reports is not reported again by SO_ERROR.
        reset_ |= ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0;
        if (pieces_.empty()) {
            owner_.on_request_sent(number_);
        } else {
            send_next_piece();
        }
    });
}

void SoakConnection::ready(short events) {
    if (connecting_) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return end_connection(true);
        }
        connecting_ = false;
        loop_.set_events(fd_.get(), POLLIN);
        const std::string startup = pg::startup("svc", "main");
        (void)!::send(fd_.get(), startup.data(), startup.size(), MSG_NOSIGNAL);
        return;
    }
    if (events != 0) {
        read();
    }
}

void SoakConnection::read() {
    char bytes[16384];
    const ssize_t received = ::recv(fd_.get(), bytes, sizeof bytes, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (received < 0) {
        return end_connection(true);
    }
    if (received > 0) {
        in_.append(bytes, static_cast<std::size_t>(received));
        return process_messages();
    }
    // The sidecar has closed its sending side. If it leaves something unread a reset follows.
    loop_.set_events(fd_.get(), 0);
    if (end_timer_ == net::Timers::kNone) {
        end_timer_ = loop_.timers.at(net::clock_now() + kResetTimeout, [this] {
            end_timer_ = net::Timers::kNone;
            int error = 0;
            socklen_t size = sizeof error;
            ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
            end_connection(reset_ || error != 0);
        });
    }
}

void SoakConnection::process_messages() {
    while (fd_.valid()) {
        char type = 0;
        std::string_view body;
        std::size_t size = 0;
        if (pg::next(in_, kMaxAnswerBytes, type, body, size) != pg::Read::whole) {
            return;
        }
        const std::string content(body);
        in_.erase(0, size);
        if (type == 'D' && content.size() >= kDataRowHeaderBytes) {
            value_ = content.substr(kDataRowHeaderBytes);
        } else if (type == 'C') {
            owner_.on_request_answered(number_, &value_);
        } else if (type == 'E' && startup_done_) {
            owner_.on_request_answered(number_, nullptr);
        } else if (type == 'Z') {
            startup_done_ = true;
            free_ = pieces_.empty();
            owner_.on_connection_free(number_);
        }
    }
}

void SoakConnection::end_connection(bool unread) {
    // The sidecar can't have read a request that was not sent completely.
    const bool incomplete = !pieces_.empty();
    close();
    owner_.on_connection_ended(number_, unread || incomplete);
}

}  // namespace tideline::soak
