// A connection from a client. It reads the PostgreSQL startup message and simple queries, handles
// one query at a time and writes the answers in order.
#pragma once

#include <optional>
#include <string_view>

#include "net/client_error.hpp"
#include "net/client_query.hpp"
#include "net/message_pacer.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::net {

using ClientId = Id<struct ClientTag, std::uint64_t>;

// The use of a client's connection. When descriptors run out, connections are closed in the order
// of these values; one that is `needed` is never closed for that reason.
enum class ClientUse { silent, partial_message, idle, needed };

// Receives the requests of clients. Called only from the event loop's thread.
class ClientRequestHandler {
  public:
    virtual ~ClientRequestHandler() = default;
    // Returns whether the sidecar can serve queries. Until it can, the empty query, with which
    // clients check readiness, is left unanswered.
    virtual bool can_serve() = 0;
    // Registers a request without routing it; its time counts from `arrived_at`. Returns nothing if
    // the request class is unknown or another open request has the same id.
    virtual std::optional<RequestId> admit(ClientId client, const ClientQuery& query,
                                           Seconds arrived_at) = 0;
    // Routes an admitted request. The connection can receive the answer from this call on.
    virtual void request_admitted(RequestId request) = 0;
    // Called when the client closed its connection before the request was answered.
    virtual void client_disconnected(RequestId request) = 0;
};

// The member functions are defined in two files: client_connection.cpp (messages and answers) and
// client_connection_state.cpp (states and their time limits).
class ClientConnection : public TcpConnection {
  public:
    // The owner of all client connections and of the limits that they share. Called only from the
    // event loop's thread.
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual bool shutting_down() const = 0;
        virtual void use_changed(ClientId client, ClientUse use) = 0;
        virtual void became_idle() = 0;
        // Called whenever the memory that an incomplete message or an unread answer takes up may
        // have changed. May end this connection or others.
        virtual void partial_message_changed(ClientId client) = 0;
        virtual void unread_answer_changed(ClientId client) = 0;
        virtual void connection_rejected(ClientError error) = 0;
        // Input was discarded because the client had closed the connection behind it.
        virtual void input_discarded() = 0;
        // Closes the connection. The object is destroyed at the end of the current pass of the
        // event loop.
        virtual void remove(ClientId client) = 0;
    };

    // `longest_time_limit` is the largest time limit of all request classes, in seconds. `owner`
    // and `handler` must outlive the connection.
    ClientConnection(EventLoop& loop, Owner& owner, ClientRequestHandler& handler,
                     Seconds longest_time_limit);
    ~ClientConnection() override;
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Starts to serve an accepted socket and takes ownership of its descriptor.
    void begin(ClientId client, int fd);
    // Writes the complete answer to the request in flight and adds the ReadyForQuery message, which
    // `bytes` does not include.
    void answer(std::string_view bytes);
    // Schedules another look at the input from the event loop, in this pass or, if enough messages
    // of this client have been handled for now, later.
    void schedule_read();
    // Closes the connection after all pending output has been written. Nothing more is read: what
    // crosses the close is reset, so that the client learns that it was not read.
    void end();
    // Closes the connection with an error, and drops what has been read of an incomplete message.
    void reject(ClientError error);
    // Returns whether the connection is between two requests, with no unread input and no pending
    // output.
    bool is_idle();
    bool has_request() const {
        return request_.has_value();
    }
    // Returns whether the client owes the next step and has made no progress for `seconds`: a
    // message is incomplete, or answers are not read. Never true while a request is in flight.
    bool has_stalled_for(Seconds seconds);
    // When the client last sent a byte or took one.
    Seconds progressed_at() const {
        return progressed_at_;
    }
    // Returns whether input of the client waits in the kernel, or its close.
    bool has_unread_input() {
        return !ending_ && peer_closed();
    }
    // Memory in bytes that an incomplete message takes up; 0 while it fits the initial buffer.
    std::size_t partial_message_bytes() const {
        return in_.capacity() > kInitialBufferBytes ? in_.capacity() : 0;
    }
    // Memory in bytes that answers which the client has not taken take up; 0 while they fit the
    // initial buffer.
    std::size_t unread_answer_bytes() const {
        return out_.capacity() > kInitialBufferBytes ? out_.capacity() : 0;
    }

  protected:
    void on_received() override;
    // A client that has closed its connection does not wait for an answer, so none of its requests
    // may begin.
    void on_received_with_close() override {
        owner_.input_discarded();
    }
    void on_write_progress() override {
        progressed_at_ = clock_now();
    }
    void on_written() override;
    void on_closed() override;
    // While a request is in flight, input beyond the buffer's limit is not read. The client's close
    // must be noticed at once all the same: otherwise the request would be served for a client that
    // has left.
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
    std::size_t max_input_bytes();
    void start_state_timeout(State state);
    void fail_after(Seconds delay, ClientError error);
    void fail(ClientError error);
    bool read_startup();
    void handle_startup(std::uint32_t code);
    bool read_message();
    bool handle_message(char type, std::string_view body);
    bool answer_empty_query();
    void read_query(std::string_view text);
    Seconds query_arrived_at() const;

    Owner& owner_;
    ClientRequestHandler& handler_;
    const Seconds longest_time_limit_;
    std::optional<RequestId> request_;  // the request in flight
    ClientId client_;
    bool started_ = false;
    bool ending_ = false;
    bool failed_ = false;
    bool awaiting_readiness_ = false;  // an empty query is held back until the sidecar can serve
    int encryption_requests_ = 0;
    MessagePacer pacer_;
    std::size_t seen_bytes_ = 0;  // size of the incomplete message at the last check
    Seconds message_began_ = 0;   // the earliest time at which the current message can have begun
    Seconds answered_at_ = 0;     // when the query before was answered
    Seconds progressed_at_ = 0;   // see progressed_at()
    State state_ = State::none;
    Timers::Id state_timer_ = Timers::kNone;
    Timers::Id resume_timer_ = Timers::kNone;
};

}  // namespace tideline::net
