// A connection to an endpoint. It sends one statement at a time and reads the answer. It is closed
// as soon as bytes arrive that can't be part of the answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/repeated_answers.hpp"
#include "net/tcp_connection.hpp"

namespace tideline::net {

class EndpointConnection : public TcpConnection {
  public:
    // The pool that owns the connection. Called only from the event loop's thread.
    class Owner {
      public:
        virtual ~Owner() = default;
        // The outcome of the exchange is known; `answer` is empty unless it succeeded. The end of
        // the response may still have to be read.
        virtual void exchange_ended(std::uint64_t exchange, Outcome outcome, const LoadReport& load,
                                    std::string_view answer) = 0;
        // The connection is established, or the response has been read completely.
        virtual void connection_free(std::uint64_t connection) = 0;
        // Returns whether endpoints are known to give this answer several times in a row.
        virtual bool is_repeated(AnswerDigest digest) const = 0;
        // The answer to the current statement equals the previous answer on this connection, so it
        // may be a duplicate of that. It is held until the owner calls deliver_held_answer(), or
        // until another response arrives and replaces it.
        virtual void answer_held(std::uint64_t connection) = 0;
        // Returns whether the rest of the statement, which the socket did not accept at once, may
        // be written. If not, the owner closes the connection within this call.
        virtual bool may_continue_statement(std::uint64_t exchange) = 0;
        // The connection can't be used any more. The exchange on it, if any, ended with `outcome`.
        virtual void connection_failed(std::uint64_t connection, Outcome outcome) = 0;
    };

    // `number` identifies the connection to the owner.
    EndpointConnection(EventLoop& loop, Owner& owner, std::uint64_t number);

    // Sends the statement. The connection must be reusable.
    void send(std::uint64_t exchange, std::string_view statement);
    // Returns whether the startup has been completed.
    bool started() const {
        return state_ != State::starting;
    }
    // Ends the current exchange with the answer that is held. Returns the digest of that answer.
    AnswerDigest deliver_held_answer();
    // Returns whether a statement can be sent: no exchange is in progress, nothing is unread or
    // unwritten, and the peer has not closed the connection.
    bool is_reusable();
    // The exchange in progress; 0 if there is none.
    std::uint64_t exchange() const {
        return exchange_;
    }
    // Detaches the exchange in progress without reporting an outcome, and returns it.
    std::uint64_t detach_exchange() {
        return std::exchange(exchange_, 0);
    }

  protected:
    void on_connected() override;
    void on_received() override;
    void on_closed() override;
    bool may_continue_writing() override {
        return all_written() || exchange_ == 0 || owner_.may_continue_statement(exchange_);
    }

  private:
    // The last part of the response that has been read.
    enum class State { starting, idle, sent, row_description, row, completed, ready };
    enum class Step { incomplete, handled, malformed };
    Step read_message();
    bool can_begin_next(std::string_view bytes) const;
    bool handle_message(char type, std::string_view body, std::string_view message);
    void handle_parameter(std::string_view body);
    bool handle_error(std::string_view body);
    void complete_answer();
    void finish_response();
    void replace_held_answer();
    void end_exchange(Outcome outcome);
    void fail_malformed();

    Owner& owner_;
    const std::uint64_t number_;
    std::uint64_t exchange_ = 0;
    State state_ = State::starting;
    bool last_response_ = false;  // no further statement is sent after this response
    // Digest of the previous answer on this connection; nothing before the first answer.
    std::optional<AnswerDigest> previous_answer_;
    // The current answer may be a duplicate of the previous one: see Owner::answer_held.
    bool holds_answer_ = false;
    LoadReport load_;
    std::string answer_;
};

}  // namespace tideline::net
