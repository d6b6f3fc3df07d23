// One connection from a client: reads the PostgreSQL startup and simple queries one at a time,
// and writes their answers in order.
#pragma once

#include <optional>
#include <string_view>

#include "net/client_error.hpp"
#include "net/client_query.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::net {

using ClientId = Id<struct ClientTag, std::uint64_t>;

// What a client's connection is used for at present, in the order in which connections are closed
// to make room; `needed` ones are never closed for that.
enum class ClientUse { silent, partial_message, idle, needed };

// Takes the requests that clients send. Called from the event loop only.
class ClientRequestHandler {
  public:
    virtual ~ClientRequestHandler() = default;
    // Whether queries can be served; while not, the empty query is left unanswered.
    virtual bool can_serve() = 0;
    // Registers a request without sending it. Nothing if the request class is unknown or another
    // request with this id is open.
    virtual std::optional<RequestId> admit(ClientId client, const ClientQuery& query) = 0;
    // The connection is ready to take the answer: the request may be routed now.
    virtual void request_admitted(RequestId request) = 0;
    // The client closed its connection before the answer.
    virtual void client_disconnected(RequestId request) = 0;
};

class ClientConnection : public TcpConnection {
  public:
    // Keeps the connections and the budgets that they share. Called from the event loop only.
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual bool shutting_down() const = 0;
        virtual void use_changed(ClientId client, ClientUse use) = 0;
        virtual void became_idle() = 0;
        // The memory held by an incomplete message may have changed.
        virtual void partial_message_changed(ClientId client) = 0;
        virtual void connection_rejected(ClientError error) = 0;
        // Closes the connection and keeps the object until the end of the loop's pass.
        virtual void remove(ClientId client) = 0;
    };

    // `longest_time_limit`: the longest time that any request may take, s. `owner` and `handler`
    // outlive the connection.
    ClientConnection(EventLoop& loop, Owner& owner, ClientRequestHandler& handler,
                     Seconds longest_time_limit);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Takes over an accepted descriptor.
    void begin(ClientId client, int fd);
    // Writes the whole answer to the request in flight, without its ReadyForQuery.
    void answer(std::string_view bytes);
    // Reads on from the loop after `delay` seconds.
    void schedule_read(Seconds delay = 0);
    // Ends the connection once all that was put is written.
    void end();
    // Ends the connection because incomplete messages take up too much memory.
    void reject_partial_message();
    // Between two requests, with nothing unread or unwritten.
    bool is_idle();
    bool has_request() const {
        return request_.has_value();
    }
    // Bytes of memory that an incomplete message takes up beyond the initial buffer.
    std::size_t partial_message_bytes() const;

  protected:
    void on_received() override;
    void on_written() override;
    void on_closed() override;
    // A client that sent more than is read while it waits, and then closed, has to be noticed at
    // once: otherwise its request would be served for nobody.
    bool reports_close_while_full() const override {
        return true;
    }

  private:
    enum class State {
        none,
        awaiting_startup,
        partial_message,
        idle,
        request_in_flight,
        awaiting_readiness,
        unread_answers,
        closing
    };
    State current_state() const;
    static ClientUse use_in_state(State state);
    void update_state();
    void start_state_timeout(State state);
    void fail_after(Seconds delay, ClientError error);
    void fail(ClientError error);
    bool read_startup();
    void handle_startup(std::uint32_t code);
    bool read_message();
    bool handle_message(char type, std::string_view body);
    bool answer_empty_query();
    void read_query(std::string_view text);

    Owner& owner_;
    ClientRequestHandler& handler_;
    const Seconds longest_time_limit_;
    std::optional<RequestId> request_;  // the one in flight
    ClientId client_;
    bool started_ = false;
    bool ending_ = false;
    bool failed_ = false;
    bool awaiting_readiness_ = false;  // its empty query waits until the sidecar can serve
    int encryption_requests_ = 0;
    std::size_t seen_bytes_ = 0;  // of an incomplete message, when it was last looked at
    Seconds message_began_ = 0;   // the earliest time at which that message may have begun
    State state_ = State::none;
    Timers::Id state_timer_ = Timers::kNone;
    Timers::Id resume_timer_ = Timers::kNone;
};

}  // namespace tideline::net
