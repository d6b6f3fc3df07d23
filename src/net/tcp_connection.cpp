#include "net/tcp_connection.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace tideline::net {
namespace {

sockaddr_in to_sockaddr(const Address& address) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = address.host;
    to.sin_port = address.port;
    return to;
}
void set_no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

std::optional<Address> address_of(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    in_addr host{};
    if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &host) != 1) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc{} || read.ptr != end || port == 0) {
        return std::nullopt;
    }
    return Address{host.s_addr, htons(port)};
}

std::string text_of(const Address& address) {
    char host[INET_ADDRSTRLEN] = {};
    const in_addr from{address.host};
    ::inet_ntop(AF_INET, &from, host, sizeof host);
    return std::string(host) + ":" + std::to_string(ntohs(address.port));
}

FileDescriptor listen_at(const Address& address) {
    FileDescriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid()) {
        return socket;
    }
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in to = to_sockaddr(address);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
        ::listen(socket.get(), kListenBacklog) != 0) {
        const int error = errno;
        socket.reset();
        errno = error;
    }
    return socket;
}

void TcpConnection::open(const Address& address, std::uint32_t from) {
    fd_.reset(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (closed()) {
        return report_failure();
    }
    set_no_delay(fd_.get());
    // If the host is not an address of this machine, any local address is used.
    if (from != 0) {
        const int on = 1;
        ::setsockopt(fd_.get(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        const sockaddr_in own = to_sockaddr({from, 0});
        (void)!::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    const sockaddr_in to = to_sockaddr(address);
    connecting_ = true;
    loop_.watch(fd_.get(), this, POLLOUT);
    if (::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
        errno != EINPROGRESS && errno != EINTR) {
        report_failure();
    }
}

void TcpConnection::adopt(int fd) {
    fd_.reset(fd);
    set_no_delay(fd);
    loop_.watch(fd_.get(), this, POLLIN);
}

void TcpConnection::close() {
    loop_.timers.cancel(failure_timer_);
    if (closed()) {
        return;
    }
    loop_.unwatch(fd_.get());
    if (output_at_close_ == OutputAtClose::discard) {
        discard_undelivered_output();
    }
    fd_.reset();
}

// After a close in order the kernel would go on delivering what it holds, for minutes if the peer's
// machine is cut off.
void TcpConnection::discard_undelivered_output() {
    if (all_delivered()) {
        return;
    }
    const linger at_once{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool TcpConnection::all_delivered() const {
    int unacknowledged_bytes = 0;
    const bool known = !closed() && ::ioctl(fd_.get(), SIOCOUTQ, &unacknowledged_bytes) == 0;
    return all_written() && (!known || unacknowledged_bytes == 0);
}

// Schedules the single call of on_closed() from the event loop.
void TcpConnection::report_failure() {
    failed_ = true;
    if (!closed()) {
        loop_.set_events(fd_.get(), 0);
    }
    if (failure_timer_ != Timers::kNone) {
        return;
    }
    failure_timer_ = loop_.timers.soon([this] {
        failure_timer_ = Timers::kNone;
        close();
        on_closed();
    });
}

void TcpConnection::put(std::string_view bytes) {
    if (failed_ || closed()) {
        return;
    }
    if (!out_.put(bytes)) {
        return report_failure();
    }
    if (!connecting_) {
        write_out();
    }
}

void TcpConnection::finish() {
    if (failed_ || closed() || finished_) {
        return;
    }
    finished_ = true;
    write_out();
}

void TcpConnection::write_out() {
    while (!out_.empty()) {
        const std::string_view piece = out_.contiguous_front();
        const ssize_t sent = ::send(fd_.get(), piece.data(), piece.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            return report_failure();
        }
        if (sent <= 0) {
            break;
        }
        out_.drop(static_cast<std::size_t>(sent));
        on_write_progress();
    }
    if (out_.empty() && finished_) {
        ::shutdown(fd_.get(), SHUT_WR);
    }
    update_events();
    if (out_.empty()) {
        on_written();
    }
}

void TcpConnection::update_events() {
    if (closed() || failed_) {
        return;
    }
    const int in = reading_stopped_             ? 0
                   : !in_.full()                ? POLLIN
                   : reports_close_while_full() ? POLLRDHUP
                                                : 0;
    loop_.set_events(fd_.get(), static_cast<short>(in | (out_.empty() ? 0 : POLLOUT)));
}

void TcpConnection::acknowledge_at_once() {
    const int on = 1;
    ::setsockopt(fd_.get(), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof on);
}

void TcpConnection::receive_again() {
    on_received();
    update_events();
}

void TcpConnection::stop_reading() {
    reading_stopped_ = true;
    update_events();
}

std::uint32_t TcpConnection::peer_host() const {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    const bool known =
        !closed() && ::getpeername(fd_.get(), reinterpret_cast<sockaddr*>(&peer), &size) == 0;
    return known ? peer.sin_addr.s_addr : 0;
}

bool TcpConnection::peer_closed() {
    char byte = 0;
    const ssize_t received_bytes = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return failed_ || received_bytes >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

Seconds TcpConnection::latest_input_age() const {
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool known =
        !closed() && ::getsockopt(fd_.get(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return known ? info.tcpi_last_data_recv * 1e-3 : 0;
}

bool TcpConnection::detect_close() {
    if (closed() || failed_) {
        return true;
    }
    pollfd polled{fd_.get(), POLLRDHUP, 0};
    if (::poll(&polled, 1, 0) <= 0) {
        return false;
    }
    report_failure();
    return true;
}

void TcpConnection::read_in() {
    bool peer_ended = false;
    std::size_t total_bytes = 0;
    // Any further input is read in the next pass: a peer that sends at full speed would otherwise
    // starve the others.
    while (!in_.full() && total_bytes < kMaxReadBytesPerPass) {
        const auto to = in_.free_space();
        const ssize_t received_bytes = ::recv(fd_.get(), to.data(), to.size(), 0);
        if (received_bytes < 0 && errno == EINTR) {
            continue;
        }
        if (received_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (received_bytes <= 0) {
            peer_ended = true;
            break;
        }
        in_.mark_filled(static_cast<std::size_t>(received_bytes));
        total_bytes += static_cast<std::size_t>(received_bytes);
    }
    if (total_bytes > 0 && peer_ended) {
        on_received_with_close();
    } else if (total_bytes > 0) {
        on_received();
    }
    if (closed()) {
        return;
    }
    if (peer_ended) {
        report_failure();
    } else {
        update_events();
    }
}

void TcpConnection::ready(short events) {
    if (failed_) {
        return;
    }
    if (connecting_) {
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return report_failure();
        }
        if (!(events & POLLOUT)) {
            return;
        }
        connecting_ = false;
        on_connected();
        if (!closed() && !failed_) {
            write_out();
        }
        return;
    }
    if ((events & POLLOUT) && may_continue_writing()) {
        write_out();
    }
    if (failed_ || closed()) {
        return;
    }
    if (reading_stopped_ && (events & (POLLHUP | POLLERR))) {
        return report_failure();
    }
    if ((events & (POLLRDHUP | POLLHUP | POLLERR)) && in_.full() && reports_close_while_full()) {
        return report_failure();
    }
    if (!reading_stopped_ && (events & (POLLIN | POLLHUP | POLLERR))) {
        read_in();
    }
}

}  // namespace tideline::net
