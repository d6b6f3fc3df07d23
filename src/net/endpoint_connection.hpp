// One connection to an endpoint: sends one statement at a time and reads its answer. Ends as soon
// as something comes that can't be part of the answer.
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
    // The pool that keeps the connection. Called from the event loop only.
    class Owner {
      public:
        virtual ~Owner() = default;
        // The exchange has its outcome; `answer` is empty unless it succeeded. The connection may
        // still have to read the end of the response.
        virtual void exchange_ended(std::uint64_t exchange, Outcome outcome, const LoadReport& load,
                                    std::string_view answer) = 0;
        // The connection has come up, or its response has been read whole.
        virtual void connection_free(std::uint64_t connection) = 0;
        // Whether endpoints are known to give this answer more than once in a row.
        virtual bool is_repeated(AnswerDigest digest) const = 0;
        // The answer under way equals the one before it, and may be its duplicate: it is held until
        // the connection is told to deliver it, or another response takes its place.
        virtual void answer_held(std::uint64_t connection) = 0;
        // The connection is of no further use; the exchange on it, if any, ended with `outcome`.
        virtual void connection_failed(std::uint64_t connection, Outcome outcome) = 0;
    };

    // `number`: by which the owner knows the connection.
    EndpointConnection(EventLoop& loop, Owner& owner, std::uint64_t number);

    // Sends the statement; the connection has to be clean.
    void send(std::uint64_t exchange, std::string_view statement);
    // Whether the startup is through.
    bool started() const {
        return state_ != State::starting;
    }
    // Ends the exchange under way with the answer that is held. Returns its digest.
    AnswerDigest deliver_held_answer();
    // Whether it can take a statement: nothing is under way, unread, or unwritten, and the peer has
    // not closed it.
    bool is_reusable();
    // The exchange under way; 0: none.
    std::uint64_t exchange() const {
        return exchange_;
    }
    // Forgets the exchange under way without reporting it, and returns it.
    std::uint64_t detach_exchange() {
        return std::exchange(exchange_, 0);
    }

  protected:
    void on_connected() override;
    void on_received() override;
    void on_closed() override;

  private:
    // What has been read of the response last.
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
    bool last_response_ = false;  // after this response it serves no further exchange
    // Of the answer before the one under way; nothing before the first.
    std::optional<AnswerDigest> previous_answer_;
    // The answer under way may be a duplicate of the one before: see Owner::answer_held.
    bool holds_answer_ = false;
    LoadReport load_;
    std::string answer_;
};

}  // namespace tideline::net
