#include "net/endpoint_pool.hpp"

#include <algorithm>
#include <utility>

#include "net/check_invariant.hpp"
#include "net/limits.hpp"

namespace tideline::net {
namespace {

constexpr std::string_view kHealthCheckStatement = "SELECT 1";

}  // namespace

EndpointPool::EndpointPool(EventLoop& loop, Owner& owner, Seconds connect_timeout,
                           Seconds idle_timeout)
    : loop_(loop),
      owner_(owner),
      connect_timeout_(connect_timeout),
      idle_timeout_(kIdleTimeoutFactor * idle_timeout) {}
EndpointPool::~EndpointPool() {
    connections_.each(
        [&](std::uint64_t, auto& connection) { loop_.timers.cancel(connection->timer); });
}

// --- Endpoints

void EndpointPool::apply_list(EndpointListKind kind, const std::vector<EndpointInfo>& endpoints,
                              const std::vector<Address>& addresses) {
    if (kind != EndpointListKind::changes) {
        for (auto& [id, endpoint] : endpoints_) {
            endpoint.listed = false;
        }
    }
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        apply_entry(endpoints[i], addresses[i]);
    }
    close_outdated_connections();
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint.listed) {
            open_connections_for_waiting(id, endpoint);
        }
    }
    // Ids of endpoints are not reused, so the table would grow without limit. An endpoint that is
    // no longer listed is removed together with its last connection.
    std::erase_if(endpoints_, [](const auto& entry) {
        const Endpoint& endpoint = entry.second;
        return !endpoint.listed && endpoint.waiting.empty() && endpoint.connection_count == 0;
    });
}

void EndpointPool::apply_entry(const EndpointInfo& info, const Address& address) {
    Endpoint& endpoint = endpoints_[info.id];
    if (endpoint.address != address || endpoint.build != info.build ||
        endpoint.started != info.started) {
        ++endpoint.generation;
    }
    endpoint.address = address;
    endpoint.build = info.build;
    endpoint.started = info.started;
    endpoint.listed = info.state == EndpointState::ready;
}

void EndpointPool::close_outdated_connections() {
    connections_.each([&](std::uint64_t number, auto& connection) {
        const Endpoint& endpoint = endpoints_[connection->endpoint];
        const bool outdated = !endpoint.listed || endpoint.generation != connection->generation;
        if (connection->link->started() && connection->link->exchange() == 0 && outdated) {
            close_connection(number);
        }
    });
}

// --- Exchanges

void EndpointPool::attempt(RequestId request, AttemptNumber number, const EndpointId& endpoint,
                           Seconds stop_at) {
    Exchange exchange;
    exchange.request = request;
    exchange.number = number;
    exchange.endpoint = endpoint;
    exchange.began = clock_now();
    exchange.stop_at = stop_at;
    begin_exchange(exchange);
}

void EndpointPool::begin_health_check(const EndpointId& endpoint) {
    Exchange exchange;
    exchange.endpoint = endpoint;
    exchange.began = clock_now();
    exchange.stop_at = exchange.began + connect_timeout_;
    begin_exchange(exchange);
}

void EndpointPool::begin_exchange(const Exchange& exchange) {
    const std::uint64_t number = exchanges_.add(exchange);
    const bool in_time = !exchange.request || exchange.stop_at > exchange.began;
    const bool can_begin = in_time && endpoints_.contains(exchange.endpoint);
    if (!can_begin) {
        exchanges_.find(number)->timer = loop_.timers.soon(
            [this, number] { exchange_ended(number, Outcome::never_sent, {}, {}); });
        return;
    }
    exchanges_.find(number)->timer =
        loop_.timers.at(exchange.stop_at, [this, number] { time_out_exchange(number); });
    assign_connection(number);
}

void EndpointPool::assign_connection(std::uint64_t number) {
    const EndpointId id = exchanges_.find(number)->endpoint;
    Endpoint& endpoint = endpoints_[id];
    while (!endpoint.idle.empty()) {
        const std::uint64_t connection = endpoint.idle.back();
        if ((*connections_.find(connection))->link->is_reusable()) {
            endpoint.idle.pop_back();
            return send_exchange(number, connection);
        }
        close_connection(connection);
    }
    endpoint.waiting.push_back(number);
    open_connections_for_waiting(id, endpoint);
}

void EndpointPool::send_exchange(std::uint64_t exchange_number, std::uint64_t connection_number) {
    Exchange& exchange = *exchanges_.find(exchange_number);
    PooledConnection& connection = **connections_.find(connection_number);
    exchange.connection = connection_number;
    loop_.timers.cancel(connection.timer);
    if (exchange.request) {
        connection.link->send(exchange_number,
                              owner_.statement_for(*exchange.request, exchange.stop_at));
    } else {
        connection.link->send(exchange_number, kHealthCheckStatement);
    }
}

void EndpointPool::exchange_ended(std::uint64_t number, Outcome outcome, const LoadReport& load,
                                  std::string_view answer) {
    Exchange* found = exchanges_.find(number);
    if (!check_invariant(found != nullptr, "an exchange that ends was started")) {
        return;
    }
    Exchange exchange = *found;
    loop_.timers.cancel(exchange.timer);
    exchanges_.remove(number);
    const Seconds took = clock_now() - exchange.began;
    if (exchange.request) {
        owner_.attempt_ended(*exchange.request, exchange.number, exchange.endpoint, outcome, took,
                             load, answer);
    } else {
        owner_.health_check_ended(exchange.endpoint, outcome, took, load);
    }
}

// An endpoint can't have run a statement that was not written completely.
void EndpointPool::time_out_exchange(std::uint64_t number) {
    Exchange* exchange = exchanges_.find(number);
    if (exchange == nullptr) {
        return;
    }
    exchange->timer = Timers::kNone;
    Outcome outcome = exchange->request ? Outcome::never_sent : Outcome::unreachable;
    if (const std::uint64_t connection = exchange->connection; connection != 0) {
        EndpointConnection& used = *(*connections_.find(connection))->link;
        if (used.all_written()) {
            outcome = Outcome::timed_out;
        }
        used.detach_exchange();
        close_connection(connection);
    } else if (const auto it = endpoints_.find(exchange->endpoint); it != endpoints_.end()) {
        std::erase(it->second.waiting, number);
    }
    exchange_ended(number, outcome, {}, {});
}

// While an attempt waits for a connection, its endpoint may start to drain, or the exposure cap of
// its build may be lowered. So the routing policy is asked again. An attempt that may no longer be
// sent ends as never sent; this is reported from the event loop.
void EndpointPool::recall_waiting_exchanges(Endpoint& endpoint) {
    std::erase_if(endpoint.waiting, [&](std::uint64_t number) {
        const Exchange& exchange = *exchanges_.find(number);
        const bool may_go = exchange.request
                                ? owner_.may_still_send(*exchange.request, exchange.number)
                                : endpoint.listed;
        if (may_go) {
            return false;
        }
        loop_.timers.soon([this, number] {
            if (exchanges_.find(number)) {
                exchange_ended(number, Outcome::never_sent, {}, {});
            }
        });
        return true;
    });
}

void EndpointPool::review_waiting_exchanges() {
    for (auto& [id, endpoint] : endpoints_) {
        recall_waiting_exchanges(endpoint);
    }
}

// --- Connections

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
    endpoint.opening -= (*connection)->opening ? 1 : 0;
    endpoint.quiet -= (*connection)->quiet ? 1 : 0;
    --endpoint.connection_count;
    loop_.timers.cancel((*connection)->timer);
    (*connection)->link->close();
    loop_.destroy_after_pass(std::move((*connection)->link));
    connections_.remove(number);
}

// After an answer, a connection is not used for a short quiet window: a duplicate of the answer may
// arrive some milliseconds later and would be taken for the answer to the next statement. Any bytes
// that arrive in that window end the connection.
void EndpointPool::connection_free(std::uint64_t number) {
    PooledConnection& connection = **connections_.find(number);
    Endpoint& endpoint = endpoints_[connection.endpoint];
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
    if (!endpoint.waiting.empty()) {
        const std::uint64_t exchange = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        return send_exchange(exchange, number);
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

}  // namespace tideline::net
