// Helpers of the sub-commands that query a member or a planner.
#pragma once

#include <fmt/format.h>

#include <stdexcept>
#include <string>

#include "cluster/member_query.hpp"

namespace tideline::cli {

// Parses `text` as an address. Throws std::runtime_error with a one-line message if it is
// malformed.
inline net::Address parse_query_address(const std::string& text) {
    const auto address = net::address_of(text);
    if (!address) {
        throw std::runtime_error(
            "--address " + text +
            ": malformed; expected host:port in digits, such as 127.0.0.1:7801");
    }
    return *address;
}

// Executes the event loop until the query has finished or `timeout` seconds have passed, then
// closes its connection. A time-out becomes the error of the query unless it already has one.
inline void await_answer(net::EventLoop& loop, cluster::QueryConnection& query, Seconds timeout) {
    loop.timers.at(net::clock_now() + timeout, [&query, timeout] {
        query.finished = true;
        if (query.error.empty()) {
            query.error = fmt::format("no complete answer within {} s", timeout);
        }
    });
    while (!query.finished) {
        loop.pass();
    }
    query.close();
}

}  // namespace tideline::cli
