// Pool of connections to the endpoints. Each connection serves one exchange at a time: an attempt
// of a request, or a health check.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/endpoint_connection.hpp"
#include "net/slots.hpp"

namespace tideline::net {

// All calls must come from the event loop's thread. The member functions are defined in two files:
// endpoint_pool.cpp (endpoints and exchanges) and endpoint_pool_connections.cpp (connections).
class EndpointPool : EndpointConnection::Owner {
  public:
    // Provides statements and receives outcomes. Called only from the event loop's thread.
    class Owner {
      public:
        virtual ~Owner() = default;
        // Returns whether another descriptor may be opened; may close connections to make room.
        virtual bool has_room_for_connection() = 0;
        // The statement of the request, with the time that is left until `stop_at` as its budget.
        virtual std::string statement_for(RequestId request, Seconds stop_at) = 0;
        // Returns whether an attempt that waited for a connection may still be sent.
        virtual bool may_still_send(RequestId request, AttemptNumber number) = 0;
        // Returns whether the client of the request still waits for the answer. It is asked at each
        // write of a statement, so that no attempt begins for a client that has disconnected,
        // however long ago the attempt was decided.
        virtual bool client_waits(RequestId request) = 0;
        // Returns whether the latest decision of the routing policy is recent enough for a write.
        virtual bool decision_is_recent() = 0;
        // The statement of an attempt has been passed to its connection.
        virtual void attempt_written() = 0;
        virtual void attempt_ended(RequestId request, AttemptNumber number,
                                   const EndpointId& endpoint, Outcome outcome, Seconds took,
                                   const LoadReport& load, std::string_view answer) = 0;
        virtual void health_check_ended(const EndpointId& endpoint, Outcome outcome, Seconds took,
                                        const LoadReport& load) = 0;
    };

    // `connect_timeout` limits, in seconds, the time to open a connection and the time of a health
    // check. `idle_timeout` is the time, in seconds, after which endpoints close an idle
    // connection. `owner` must outlive the pool.
    EndpointPool(EventLoop& loop, Owner& owner, Seconds connect_timeout, Seconds idle_timeout);
    ~EndpointPool() override;
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    // Applies an endpoint list; `addresses` holds the address of each element of `endpoints`.
    void apply_list(EndpointListKind kind, const std::vector<EndpointInfo>& endpoints,
                    const std::vector<Address>& addresses);
    // Asks the owner again about all exchanges that wait for a connection, and ends those that may
    // no longer be sent.
    void review_waiting_exchanges();
    // Sends an attempt. The outcome is reported from the event loop, never within the call.
    void attempt(RequestId request, AttemptNumber number, const EndpointId& endpoint,
                 Seconds stop_at);
    // Ends the attempts of the request whose statement the endpoint's machine has not acknowledged
    // completely, and closes their connections. The outcome is reported from the event loop, never
    // within the call: never_sent, or cancelled for a statement that may have arrived.
    void withdraw_undelivered(RequestId request);
    // Sends a health check. The outcome is reported from the event loop, never within the call.
    void begin_health_check(const EndpointId& endpoint);
    // Closes the connection that has been idle for the longest time. Returns false if none is idle.
    bool close_idle_connection();
    // Closes the connection that has waited longest for the end of a response whose answer was
    // delivered. Returns false if none has waited for longer than a healthy endpoint needs.
    bool close_unfinished_connection();
    // Counts of connections by use, as fields of a log line.
    std::string report();

  private:
    // An attempt or a health check that has not ended.
    struct Exchange {
        std::optional<RequestId> request;  // nothing for a health check
        AttemptNumber number;
        EndpointId endpoint;
        Seconds began = 0;
        Seconds stop_at = 0;
        std::uint64_t connection = 0;  // 0 while the exchange waits for a connection
        Timers::Id timer = Timers::kNone;
    };
    // An endpoint with its connections and the exchanges that wait for one.
    struct Endpoint {
        Address address;
        Build build;
        Seconds started = 0;
        bool listed = false;
        // Incremented whenever address, build or start time changes. A connection of an earlier
        // generation is not used any more.
        int generation = 0;
        std::deque<std::uint64_t> waiting;  // exchanges that wait for a connection
        std::deque<std::uint64_t> idle;     // idle connections, the most recently used at the back
        int opening = 0;                    // number of connections that are not established yet
        int quiet = 0;                      // number of connections in their quiet window
        int connection_count = 0;
    };

    // A connection of the pool.
    struct PooledConnection {
        EndpointId endpoint;
        int generation = 0;   // generation of the endpoint when the connection was opened
        bool opening = true;  // counted in Endpoint::opening
        bool quiet = false;   // counted in Endpoint::quiet
        Seconds idle_since = 0;
        Seconds unfinished_since = 0;  // valid while the connection is in unfinished_
        Timers::Id timer = Timers::kNone;
        std::unique_ptr<EndpointConnection> link;
    };

    // EndpointConnection::Owner
    void exchange_ended(std::uint64_t exchange, Outcome outcome, const LoadReport& load,
                        std::string_view answer) override;
    void connection_free(std::uint64_t connection) override;
    void connection_failed(std::uint64_t connection, Outcome outcome) override;
    bool is_repeated(AnswerDigest digest) const override {
        return repeated_answers_.contains(digest);
    }
    void answer_held(std::uint64_t connection) override;
    bool may_continue_statement(std::uint64_t exchange) override;

    void deliver_held_answer(std::uint64_t connection);
    void apply_entry(const EndpointInfo& info, const Address& address);
    void close_outdated_connections();
    void begin_exchange(const Exchange& exchange);
    enum class SendResult { sent, client_gone, decision_outdated };
    SendResult send_exchange(std::uint64_t exchange, std::uint64_t connection);
    void serve_waiting_later(const EndpointId& id);
    void serve_waiting(const EndpointId& id);
    void end_later(std::uint64_t exchange, Outcome outcome);
    void withdraw(std::uint64_t exchange);
    bool is_written(const Exchange& exchange);
    bool is_delivered(const Exchange& exchange);
    void assign_connection(std::uint64_t exchange);
    void open_connection(const EndpointId& id, Endpoint& endpoint);
    void open_connections_for_waiting(const EndpointId& id, Endpoint& endpoint);
    void time_out_exchange(std::uint64_t exchange);
    void recall_waiting_exchanges(Endpoint& endpoint);
    void await_end_of_response(std::uint64_t connection, Seconds now, Seconds stop_at);
    void cut_off_response(std::uint64_t connection);
    void close_connection(std::uint64_t connection);
    void reuse_connection(std::uint64_t connection);

    EventLoop& loop_;
    Owner& owner_;
    const Seconds connect_timeout_;
    const Seconds idle_timeout_;
    std::map<EndpointId, Endpoint> endpoints_;
    Slots<Exchange> exchanges_;
    RepeatedAnswers repeated_answers_;
    // Allocated separately, so that references stay valid while connections are added.
    Slots<std::unique_ptr<PooledConnection>> connections_;
    // Connections whose exchange has ended before the end of its response, oldest first.
    std::deque<std::uint64_t> unfinished_;
    long unfinished_closed_ = 0;
};

}  // namespace tideline::net
