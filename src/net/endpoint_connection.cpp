#include "net/endpoint_connection.hpp"

#include <utility>

#include "net/check_invariant.hpp"
#include "net/limits.hpp"
#include "net/postgres_protocol.hpp"

namespace tideline::net {
namespace {

// SQLSTATE with which an overloaded endpoint rejects a statement.
constexpr std::string_view kOverloadedSqlstate = "53300";
// Name of the parameter in which endpoints report their load.
constexpr std::string_view kLoadParameter = "vitals";

}  // namespace

EndpointConnection::EndpointConnection(EventLoop& loop, Owner& owner, std::uint64_t number)
    : TcpConnection(loop, kMaxBufferBytes, OutputAtClose::discard),
      owner_(owner),
      number_(number) {}

void EndpointConnection::send(std::uint64_t exchange, std::string_view statement) {
    check_invariant(state_ == State::idle && exchange_ == 0,
                    "a connection carries one exchange at a time");
    exchange_ = exchange;
    state_ = State::sent;
    load_.clear();
    answer_.clear();
    put(pg::query(statement));
}

bool EndpointConnection::is_reusable() {
    return state_ == State::idle && in_.empty() && all_written() && !peer_closed();
}

void EndpointConnection::on_connected() {
    put(pg::startup("svc", "main"));
}

// A row does not identify its request, so an unsolicited message, such as a duplicate answer, would
// be taken for the answer to the next statement. Therefore it ends the connection in any state. The
// exception is a message that follows a held answer: that is the response to the current statement.
void EndpointConnection::on_received() {
    while (!closed() && !in_.empty()) {
        if (state_ == State::idle && holds_answer_) {
            replace_held_answer();
        }
        switch (read_message()) {
            case Step::incomplete:
                return;
            case Step::malformed:
                return fail_malformed();
            case Step::handled:
                break;
        }
        if (!closed() && state_ == State::ready) {
            finish_response();
        }
    }
}

// Called when the response has been read completely; further bytes may follow it.
void EndpointConnection::finish_response() {
    state_ = State::idle;
    acknowledge_at_once();
    if (holds_answer_) {
        if (in_.empty()) {
            owner_.answer_held(number_);
        }
        return;
    }
    if (last_response_ || !is_reusable()) {
        return fail_malformed();
    }
    owner_.connection_free(number_);
}

// Endpoints answer in order, so a response that follows a held answer shows that the held one was a
// duplicate of the previous answer. No further statement is sent on this connection.
void EndpointConnection::replace_held_answer() {
    holds_answer_ = false;
    last_response_ = true;
    state_ = State::sent;
    load_.clear();
    answer_.clear();
}

EndpointConnection::Step EndpointConnection::read_message() {
    const std::string_view bytes = in_.all();
    if (state_ == State::idle || !can_begin_next(bytes)) {
        return Step::malformed;
    }
    char type = 0;
    std::string_view body;
    std::size_t message_size = 0;
    switch (pg::next(bytes, kMaxAnswerBytes, type, body, message_size)) {
        case pg::Read::more:
            return Step::incomplete;
        case pg::Read::bad:
            return Step::malformed;
        case pg::Read::whole:
            break;
    }
    if (!handle_message(type, body, bytes.substr(0, message_size))) {
        return Step::malformed;
    }
    if (!closed()) {
        in_.drop(message_size);
    }
    return Step::handled;
}

// The endpoint can have run the statement only if its last byte was written.
void EndpointConnection::on_closed() {
    const bool written = exchange_ != 0 && all_written();
    owner_.connection_failed(number_, written ? Outcome::broken : Outcome::unreachable);
}

void EndpointConnection::fail_malformed() {
    owner_.connection_failed(number_, Outcome::malformed);
}

// Returns whether the first bytes can begin the next message. This is checked before the message is
// complete: otherwise the connection would wait in vain for a message with a bogus length of, say,
// 3 GB.
bool EndpointConnection::can_begin_next(std::string_view bytes) const {
    const char type = bytes[0];
    const bool short_enough = pg::has_body_within(bytes, kMaxNoticeBytes);
    if (type == 'S' || type == 'N') {
        return short_enough;
    }
    switch (state_) {
        case State::starting:
            return std::string_view("RKZE").find(type) != std::string_view::npos && short_enough;
        case State::sent:
            return (type == 'T' || type == 'E') && short_enough;
        case State::row_description:
            if (type == 'E') {
                return short_enough;
            }
            return type == 'D' && pg::can_begin_single_value(bytes, kMaxValueBytes);
        case State::row:
            return (type == 'C' || type == 'E') && short_enough;
        case State::completed:
            return type == 'Z' && pg::has_body_within(bytes, 1);
        default:
            return false;
    }
}

// Returns false if the message is malformed.
bool EndpointConnection::handle_message(char type, std::string_view body,
                                        std::string_view message) {
    switch (type) {
        case 'N':
        case 'K':
            return true;
        case 'R':
            return body == std::string_view("\0\0\0\0", 4);
        case 'S':
            handle_parameter(body);
            return true;
        case 'Z':
            if (body != "I") {
                return false;
            }
            state_ = State::ready;
            return true;
        case 'T':
            state_ = State::row_description;
            answer_.append(message);
            return pg::describes_one_column(body);
        case 'D':
            state_ = State::row;
            answer_.append(message);
            return pg::is_single_value(body, kMaxValueBytes);
        case 'C':
            if (!pg::is_single_text(body)) {
                return false;
            }
            answer_.append(message);
            complete_answer();
            return true;
        default:
            return handle_error(body);
    }
}

// A malformed parameter ends the connection after the response, but the answer itself is still
// used.
void EndpointConnection::handle_parameter(std::string_view body) {
    const auto parameter = pg::parse_parameter_status(body);
    if (!parameter) {
        last_response_ = true;
    } else if (parameter->first == kLoadParameter) {
        load_ = pg::parse_load_report(parameter->second);
    }
}

bool EndpointConnection::handle_error(std::string_view body) {
    constexpr std::size_t kSqlstateSize = 5;
    const auto sqlstate = pg::error_field(body, 'C');
    if (sqlstate.size() != kSqlstateSize) {
        return false;
    }
    const bool overloaded = sqlstate == kOverloadedSqlstate;
    if (state_ == State::starting) {
        owner_.connection_failed(number_, overloaded ? Outcome::overloaded : Outcome::unreachable);
    } else if (overloaded) {
        end_exchange(Outcome::overloaded);
    } else if (pg::is_statement_error(sqlstate)) {
        end_exchange(Outcome::never_sent);
    } else {
        end_exchange(Outcome::failed);
    }
    return true;
}

// An answer that equals the previous one on this connection may be a duplicate of it that arrived
// after the next statement was written. It is held, unless endpoints are known to repeat this
// answer.
void EndpointConnection::complete_answer() {
    const AnswerDigest digest = digest_of(answer_);
    const bool may_be_duplicate =
        previous_answer_ == digest && !last_response_ && !owner_.is_repeated(digest);
    previous_answer_ = digest;
    if (may_be_duplicate) {
        holds_answer_ = true;
        state_ = State::completed;
        return;
    }
    end_exchange(Outcome::succeeded);
}

AnswerDigest EndpointConnection::deliver_held_answer() {
    holds_answer_ = false;
    end_exchange(Outcome::succeeded);
    state_ = State::idle;
    return *previous_answer_;
}

void EndpointConnection::end_exchange(Outcome outcome) {
    const std::uint64_t exchange = detach_exchange();
    state_ = State::completed;
    const std::string answer = std::exchange(answer_, {});
    const LoadReport load = load_;
    owner_.exchange_ended(exchange, outcome, load, answer);
}

}  // namespace tideline::net
