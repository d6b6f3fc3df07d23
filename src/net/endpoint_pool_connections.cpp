// Connections of the endpoint pool: when they are opened, reused and closed.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "net/endpoint_pool.hpp"
#include "net/limits.hpp"

namespace tideline::net {

// Connections in their quiet window count as available: they are free sooner than a new connection
// would be established, and using them spares the endpoint a handshake.
void EndpointPool::open_connections_for_waiting(const EndpointId& id, Endpoint& endpoint) {
    while (endpoint.opening + endpoint.quiet < static_cast<int>(endpoint.waiting.size())) {
        open_connection(id, endpoint);
    }
}

void EndpointPool::open_connection(const EndpointId& id, Endpoint& endpoint) {
    const std::uint64_t number = connections_.add(std::make_unique<PooledConnection>());
    PooledConnection& connection = **connections_.find(number);
    EndpointConnection::Owner& connection_owner = *this;
    connection.endpoint = id;
    connection.generation = endpoint.generation;
    connection.link = std::make_unique<EndpointConnection>(loop_, connection_owner, number);
    ++endpoint.opening;
    ++endpoint.connection_count;
    const auto fail = [this, number] { connection_failed(number, Outcome::unreachable); };
    if (!owner_.has_room_for_connection()) {
        connection.timer = loop_.timers.soon(fail);
        return;
    }
    connection.timer = loop_.timers.at(clock_now() + connect_timeout_, fail);
    connection.link->open(endpoint.address);
}

void EndpointPool::close_connection(std::uint64_t number) {
    auto* connection = connections_.find(number);
    if (!connection) {
        return;
    }
    Endpoint& endpoint = endpoints_[(*connection)->endpoint];
    std::erase(endpoint.idle, number);
    std::erase(unfinished_, number);
    endpoint.opening -= (*connection)->opening ? 1 : 0;
    endpoint.quiet -= (*connection)->quiet ? 1 : 0;
    --endpoint.connection_count;
    loop_.timers.cancel((*connection)->timer);
    (*connection)->link->close();
    loop_.destroy_after_pass(std::move((*connection)->link));
    connections_.remove(number);
}

// The outcome of an exchange is known at the end of the answer, but its connection is busy until
// the end of the response. An endpoint may never send that and keep the connection open, so the
// response has to end by the stop time of its exchange.
void EndpointPool::await_end_of_response(std::uint64_t number, Seconds now, Seconds stop_at) {
    PooledConnection& connection = **connections_.find(number);
    connection.unfinished_since = now;
    unfinished_.push_back(number);
    loop_.timers.cancel(connection.timer);
    connection.timer = loop_.timers.at(stop_at, [this, number] { cut_off_response(number); });
}

void EndpointPool::cut_off_response(std::uint64_t number) {
    ++unfinished_closed_;
    close_connection(number);
}

// A healthy endpoint ends the response together with the answer. After the quiet window the
// connection would be reusable, so one that still waits for the end is of no use.
bool EndpointPool::close_unfinished_connection() {
    if (unfinished_.empty()) {
        return false;
    }
    const std::uint64_t oldest = unfinished_.front();
    const Seconds since = (*connections_.find(oldest))->unfinished_since;
    if (clock_now() - since < kDuplicateAnswerQuietWindow) {
        return false;
    }
    cut_off_response(oldest);
    return true;
}

// After an answer, a connection is not used for a short quiet window: a duplicate of the answer may
// arrive some milliseconds later and would be taken for the answer to the next statement. Any bytes
// that arrive in that window end the connection.
void EndpointPool::connection_free(std::uint64_t number) {
    PooledConnection& connection = **connections_.find(number);
    Endpoint& endpoint = endpoints_[connection.endpoint];
    std::erase(unfinished_, number);
    loop_.timers.cancel(connection.timer);
    if (!connection.opening) {
        connection.quiet = true;
        ++endpoint.quiet;
        connection.timer = loop_.timers.at(clock_now() + kDuplicateAnswerQuietWindow,
                                           [this, number] { reuse_connection(number); });
        return;
    }
    connection.opening = false;
    --endpoint.opening;
    reuse_connection(number);
}

// Delivers the held answer after a delay. A response that arrives before that replaces it.
void EndpointPool::answer_held(std::uint64_t number) {
    PooledConnection& connection = **connections_.find(number);
    const Seconds now = clock_now();
    const Exchange* exchange = exchanges_.find(connection.link->exchange());
    const Seconds left = exchange ? exchange->stop_at - now : 0;
    loop_.timers.cancel(connection.timer);
    connection.timer = loop_.timers.at(now + std::min(kDuplicateAnswerHoldTimeout, left / 2),
                                       [this, number] { deliver_held_answer(number); });
}

void EndpointPool::deliver_held_answer(std::uint64_t number) {
    PooledConnection& connection = **connections_.find(number);
    connection.timer = Timers::kNone;
    if (!connection.link->is_reusable()) {
        return;  // input has arrived and is read first
    }
    repeated_answers_.add(connection.link->deliver_held_answer());
    if (connections_.find(number)) {
        connection_free(number);
    }
}

// Assigns the connection to the exchange that has waited for the longest time, or keeps it as idle.
void EndpointPool::reuse_connection(std::uint64_t number) {
    PooledConnection& connection = **connections_.find(number);
    const EndpointId id = connection.endpoint;
    Endpoint& endpoint = endpoints_[id];
    endpoint.quiet -= connection.quiet ? 1 : 0;
    connection.quiet = false;
    loop_.timers.cancel(connection.timer);
    recall_waiting_exchanges(endpoint);
    const bool outdated = !endpoint.listed || endpoint.generation != connection.generation;
    if (outdated || !connection.link->is_reusable()) {
        close_connection(number);
        open_connections_for_waiting(id, endpoint);
        return;
    }
    while (!endpoint.waiting.empty()) {
        const std::uint64_t exchange = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        const SendResult result = send_exchange(exchange, number);
        if (result == SendResult::sent) {
            return;
        }
        if (result == SendResult::decision_outdated) {
            endpoint.waiting.push_front(exchange);
            serve_waiting_later(id);
            break;
        }
    }
    connection.idle_since = clock_now();
    endpoint.idle.push_back(number);
    connection.timer = loop_.timers.at(connection.idle_since + idle_timeout_,
                                       [this, number] { close_connection(number); });
}

void EndpointPool::connection_failed(std::uint64_t number, Outcome outcome) {
    auto* found = connections_.find(number);
    if (!found) {
        return;
    }
    const std::uint64_t exchange = (*found)->link->detach_exchange();
    const bool was_opening = (*found)->opening;
    const EndpointId id = (*found)->endpoint;
    close_connection(number);
    if (exchange != 0) {
        return exchange_ended(exchange, outcome, {}, {});
    }
    Endpoint& endpoint = endpoints_[id];
    if (!was_opening) {
        // A waiting exchange may have relied on this connection.
        return open_connections_for_waiting(id, endpoint);
    }
    // One of the waiting exchanges relied on this connection.
    if (static_cast<int>(endpoint.waiting.size()) <= endpoint.opening + endpoint.quiet) {
        return;
    }
    const std::uint64_t first = endpoint.waiting.front();
    endpoint.waiting.pop_front();
    const bool overloaded = outcome == Outcome::overloaded;
    exchange_ended(first, overloaded ? Outcome::overloaded : Outcome::unreachable, {}, {});
}

bool EndpointPool::close_idle_connection() {
    std::uint64_t oldest = 0;
    Seconds oldest_since = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        for (const std::uint64_t number : endpoint.idle) {
            const Seconds since = (*connections_.find(number))->idle_since;
            if (oldest == 0 || since < oldest_since) {
                oldest = number;
                oldest_since = since;
            }
        }
    }
    close_connection(oldest);
    return oldest != 0;
}

std::string EndpointPool::report() {
    int opening = 0;
    int in_use = 0;
    int quiet = 0;
    connections_.each([&](std::uint64_t, const auto& connection) {
        opening += connection->opening ? 1 : 0;
        in_use += connection->link->exchange() != 0 ? 1 : 0;
        quiet += connection->quiet ? 1 : 0;
    });
    std::size_t idle = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        idle += endpoint.idle.size();
    }
    return fmt::format(
        "endpoint_connections={} endpoint_connections_opening={} endpoint_connections_in_use={} "
        "endpoint_connections_unfinished={} endpoint_connections_quiet={} "
        "endpoint_connections_idle={} endpoint_connections_unfinished_closed={}",
        connections_.size(), opening, in_use, unfinished_.size(), quiet, idle, unfinished_closed_);
}

}  // namespace tideline::net
