// Pooled connections to the endpoints. Each serves one exchange at a time: an attempt of a request,
// or a health check.
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

// All calls come from the event loop's thread.
class EndpointPool : EndpointConnection::Owner {
  public:
    class Owner {
      public:
        virtual ~Owner() = default;
        // Whether another descriptor may be opened; may close connections to make room.
        virtual bool has_room_for_connection() = 0;
        // The statement with the time that is left until `stop_at`.
        virtual std::string statement_for(RequestId request, Seconds stop_at) = 0;
        // Whether an attempt that waited for a connection may still go out.
        virtual bool may_still_send(RequestId request, AttemptNumber number) = 0;
        virtual void attempt_ended(RequestId request, AttemptNumber number,
                                   const EndpointId& endpoint, Outcome outcome, Seconds took,
                                   const LoadReport& load, std::string_view answer) = 0;
        virtual void health_check_ended(const EndpointId& endpoint, Outcome outcome, Seconds took,
                                        const LoadReport& load) = 0;
    };

    // `connect_timeout`: s, for a connection and for a health check. `idle_timeout`: s, after which
    // endpoints close an idle connection. `owner` outlives the pool.
    EndpointPool(EventLoop& loop, Owner& owner, Seconds connect_timeout, Seconds idle_timeout);
    ~EndpointPool() override;
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    // Applies a list; `addresses` holds one for each line.
    void apply_list(EndpointListKind kind, const std::vector<EndpointInfo>& endpoints,
                    const std::vector<Address>& addresses);
    // Asks again whether attempts that wait for a connection may still go out.
    void review_waiting_exchanges();
    // Both begin at once; the outcome is reported from the loop, never within the call.
    void attempt(RequestId request, AttemptNumber number, const EndpointId& endpoint,
                 Seconds stop_at);
    void begin_health_check(const EndpointId& endpoint);
    // Closes the connection that has been idle for longest; false if there is none.
    bool close_idle_connection();
    std::size_t connection_count() const {
        return connections_.size();
    }

  private:
    struct Exchange {
        std::optional<RequestId> request;  // none: a health check
        AttemptNumber number;
        EndpointId endpoint;
        Seconds began = 0;
        Seconds stop_at = 0;
        std::uint64_t connection = 0;  // 0: it waits for one
        Timers::Id timer = Timers::kNone;
    };
    struct Endpoint {
        Address address;
        Build build;
        Seconds started = 0;
        bool listed = false;
        // Counts how often address, build or start changed: a connection of an earlier generation
        // is not used.
        int generation = 0;
        std::deque<std::uint64_t> waiting;  // exchanges
        std::deque<std::uint64_t> idle;     // connections, the one used last at the back
        int opening = 0;                    // connections that are not up yet
        int quiet = 0;                      // connections in their quiet time
        int connection_count = 0;
    };

    struct PooledConnection {
        EndpointId endpoint;
        int generation = 0;   // of the endpoint when the connection was opened
        bool opening = true;  // counted in Endpoint::opening
        bool quiet = false;   // counted in Endpoint::quiet
        Seconds idle_since = 0;
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

    void deliver_held_answer(std::uint64_t connection);
    void apply_entry(const EndpointInfo& info, const Address& address);
    void close_outdated_connections();
    void begin_exchange(const Exchange& exchange);
    void send_exchange(std::uint64_t exchange, std::uint64_t connection);
    void assign_connection(std::uint64_t exchange);
    void open_connection(const EndpointId& id, Endpoint& endpoint);
    void open_connections_for_waiting(const EndpointId& id, Endpoint& endpoint);
    void time_out_exchange(std::uint64_t exchange);
    void recall_waiting_exchanges(Endpoint& endpoint);
    void close_connection(std::uint64_t connection);
    void reuse_connection(std::uint64_t connection);

    EventLoop& loop_;
    Owner& owner_;
    const Seconds connect_timeout_;
    const Seconds idle_timeout_;
    std::map<EndpointId, Endpoint> endpoints_;
    Slots<Exchange> exchanges_;
    RepeatedAnswers repeated_answers_;
    // On the heap, so that references stay valid while others are added.
    Slots<std::unique_ptr<PooledConnection>> connections_;
};

}  // namespace tideline::net
