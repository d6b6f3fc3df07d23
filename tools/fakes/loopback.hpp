// Loopback addresses for the processes of one test run. Each run takes a block of networks for
// itself, so that runs on the same machine never share an address.
#pragma once

#include "net/tcp_connection.hpp"

namespace tideline::fakes {

// The first two bytes of addresses in a network of this run (0 to kNetworksPerRun - 1), as in an
// IPv4 address in host order. The block is taken at the first call and held until the process ends;
// throws std::runtime_error if none is free.
std::uint32_t loopback_prefix(int network);

// 127.<network of this run>.<host / 256>.<host % 256>:<port>
net::Address at_port(int host, int port, int network = 0);

using net::text_of;

}  // namespace tideline::fakes
