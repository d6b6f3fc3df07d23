#include "fakes/loopback.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace tideline::fakes {
namespace {

constexpr int kNetworksPerRun = 4;
constexpr int kFirstNetwork = 32;  // 127.32: other programs use addresses below it
constexpr int kLastNetwork = 252;
constexpr int kLockPort = 7799;  // a run holds a block by binding this port in its first network

// Takes a block of networks by binding its lock port. The socket is left open, so that the block
// stays taken until the process ends. Returns false if another run holds the block.
bool take_block(int first_network) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return false;
    }
    sockaddr_in lock{};
    lock.sin_family = AF_INET;
    lock.sin_port = htons(kLockPort);
    lock.sin_addr.s_addr =
        htonl(127U << 24U | static_cast<std::uint32_t>(first_network) << 16U | 1U);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&lock), sizeof lock) == 0) {
        return true;
    }
    ::close(fd);
    return false;
}

int first_network_of_this_run() {
    for (int first = kFirstNetwork; first <= kLastNetwork; first += kNetworksPerRun) {
        if (take_block(first)) {
            return first;
        }
    }
    throw std::runtime_error("no block of loopback addresses is free");
}

int network_number(int network) {
    static const int first = first_network_of_this_run();
    return first + network;
}

}  // namespace

std::uint32_t loopback_prefix(int network) {
    return 127U << 8U | static_cast<std::uint32_t>(network_number(network));
}

net::Address at_port(int host, int port, int network) {
    return *net::address_of(
        fmt::format("127.{}.{}.{}:{}", network_number(network), host / 256, host % 256, port));
}

}  // namespace tideline::fakes
