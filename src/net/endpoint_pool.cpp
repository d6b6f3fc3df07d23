#include "net/endpoint_pool.hpp"

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
        return end_later(number, Outcome::never_sent);
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
            const SendResult result = send_exchange(number, connection);
            if (result == SendResult::sent) {
                endpoint.idle.pop_back();
            } else if (result == SendResult::decision_outdated) {
                endpoint.waiting.push_back(number);
                serve_waiting_later(id);
            }
            return;
        }
        close_connection(connection);
    }
    endpoint.waiting.push_back(number);
    open_connections_for_waiting(id, endpoint);
}

// Exchanges whose decision is outdated are decided anew from the event loop, which first reads what
// arrived meanwhile.
void EndpointPool::serve_waiting_later(const EndpointId& id) {
    loop_.timers.soon([this, id] { serve_waiting(id); });
}

void EndpointPool::serve_waiting(const EndpointId& id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    Endpoint& endpoint = found->second;
    recall_waiting_exchanges(endpoint);
    for (std::size_t left = endpoint.waiting.size(); left > 0 && !endpoint.idle.empty(); --left) {
        const std::uint64_t exchange = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        assign_connection(exchange);
    }
    open_connections_for_waiting(id, endpoint);
}

// Writes the statement of the exchange. If its client has disconnected, the exchange ends as never
// sent. Unless it is sent, the connection is as free as before.
EndpointPool::SendResult EndpointPool::send_exchange(std::uint64_t exchange_number,
                                                     std::uint64_t connection_number) {
    Exchange& exchange = *exchanges_.find(exchange_number);
    if (exchange.request && !owner_.client_waits(*exchange.request)) {
        end_later(exchange_number, Outcome::never_sent);
        return SendResult::client_gone;
    }
    if (exchange.request && !owner_.decision_is_recent()) {
        return SendResult::decision_outdated;
    }
    PooledConnection& connection = **connections_.find(connection_number);
    exchange.connection = connection_number;
    loop_.timers.cancel(connection.timer);
    if (exchange.request) {
        connection.link->send(exchange_number,
                              owner_.statement_for(*exchange.request, exchange.stop_at));
        owner_.attempt_written();
    } else {
        connection.link->send(exchange_number, kHealthCheckStatement);
    }
    return SendResult::sent;
}

// Ends an exchange that has no connection and waits for none any more, from the event loop.
void EndpointPool::end_later(std::uint64_t number, Outcome outcome) {
    Exchange& exchange = *exchanges_.find(number);
    loop_.timers.cancel(exchange.timer);
    exchange.timer =
        loop_.timers.soon([this, number, outcome] { exchange_ended(number, outcome, {}, {}); });
}

bool EndpointPool::is_written(const Exchange& exchange) {
    return exchange.connection != 0 &&
           (*connections_.find(exchange.connection))->link->all_written();
}

bool EndpointPool::is_delivered(const Exchange& exchange) {
    return exchange.connection != 0 &&
           (*connections_.find(exchange.connection))->link->all_delivered();
}

// Takes the exchange from its connection, which is closed, or from those that wait for one.
void EndpointPool::withdraw(std::uint64_t number) {
    Exchange& exchange = *exchanges_.find(number);
    if (const std::uint64_t connection = std::exchange(exchange.connection, 0); connection != 0) {
        (*connections_.find(connection))->link->detach_exchange();
        close_connection(connection);
    } else if (const auto it = endpoints_.find(exchange.endpoint); it != endpoints_.end()) {
        std::erase(it->second.waiting, number);
    }
}

// An endpoint runs a statement only once its last byte has arrived. So what its machine has not
// received yet is taken back when the client disconnects: the kernel would go on delivering it.
void EndpointPool::withdraw_undelivered(RequestId request) {
    std::vector<std::uint64_t> undelivered;
    exchanges_.each([&](std::uint64_t number, const Exchange& exchange) {
        if (exchange.request == request && !is_delivered(exchange)) {
            undelivered.push_back(number);
        }
    });
    for (const std::uint64_t number : undelivered) {
        // What the kernel has taken may arrive until the connection is closed.
        const bool may_arrive = is_written(*exchanges_.find(number));
        withdraw(number);
        end_later(number, may_arrive ? Outcome::cancelled : Outcome::never_sent);
    }
}

bool EndpointPool::may_continue_statement(std::uint64_t number) {
    const Exchange& exchange = *exchanges_.find(number);
    if (!exchange.request || owner_.client_waits(*exchange.request)) {
        return true;
    }
    withdraw_undelivered(*exchange.request);
    return false;
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
    const Seconds now = clock_now();
    if (connections_.find(exchange.connection)) {
        await_end_of_response(exchange.connection, now, exchange.stop_at);
    }
    const Seconds took = now - exchange.began;
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
    if (is_written(*exchange)) {
        outcome = Outcome::timed_out;
    }
    withdraw(number);
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
        end_later(number, Outcome::never_sent);
        return true;
    });
}

void EndpointPool::review_waiting_exchanges() {
    for (auto& [id, endpoint] : endpoints_) {
        recall_waiting_exchanges(endpoint);
    }
}

}  // namespace tideline::net
