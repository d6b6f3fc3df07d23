#include "net/client_connection.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "net/check_invariant.hpp"
#include "net/limits.hpp"
#include "net/postgres_protocol.hpp"

namespace tideline::net {
namespace {

bool is_empty_query(std::string_view body) {
    return body.find_first_not_of(" \t\r\n;") == body.size() - 1;
}

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop, Owner& owner, ClientRequestHandler& handler,
                                   Seconds longest_time_limit)
    : TcpConnection(loop, kInitialBufferBytes),
      owner_(owner),
      handler_(handler),
      longest_time_limit_(longest_time_limit) {}
ClientConnection::~ClientConnection() {
    loop_.timers.cancel(state_timer_);
    loop_.timers.cancel(resume_timer_);
}

void ClientConnection::begin(ClientId client, int fd) {
    client_ = client;
    progressed_at_ = clock_now();
    adopt(fd);
    update_state();
}

void ClientConnection::answer(std::string_view bytes) {
    if (!check_invariant(request_.has_value(), "an answer belongs to a request in flight")) {
        return;
    }
    request_.reset();
    answered_at_ = clock_now();
    progressed_at_ = answered_at_;
    put(std::string(bytes) + pg::ready());
    update_state();
    schedule_read();
    owner_.unread_answer_changed(client_);
}

// The next query is read from the event loop, not from within this call: the routing policy may
// answer within its own call, and reading here would enter it recursively. The pace holds however
// the reading was scheduled: an answer that is given at once schedules it too.
void ClientConnection::schedule_read() {
    if (resume_timer_ != Timers::kNone) {
        return;
    }
    resume_timer_ = loop_.timers.at(pacer_.next_at(), [this] {
        resume_timer_ = Timers::kNone;
        receive_again();
    });
}

bool ClientConnection::is_idle() {
    return !request_ && !ending_ && in_.empty() && all_written() && !peer_closed();
}

void ClientConnection::end() {
    if (std::exchange(ending_, true)) {
        return;
    }
    stop_reading();
    finish();
    update_state();
}

// Input that is still unread is progress too: it may complete the message.
bool ClientConnection::has_stalled_for(Seconds seconds) {
    if (request_ || ending_ || clock_now() - progressed_at_ < seconds) {
        return false;
    }
    return !all_written() || !has_unread_input();
}

void ClientConnection::reject(ClientError error) {
    in_.drop(in_.size());
    fail(error);
}

void ClientConnection::fail(ClientError error) {
    if (ending_) {
        return;
    }
    owner_.connection_rejected(error);
    put(pg::error("FATAL", sqlstate_of(error), text_of(error)));
    failed_ = true;
    end();
}

void ClientConnection::on_received() {
    const bool has_grown = in_.size() > seen_bytes_;
    const Seconds began = clock_now();
    if (seen_bytes_ == 0) {
        message_began_ = began;
    }
    while (!ending_ && !request_ && !closed() && !in_.empty() && all_written()) {
        if (!pacer_.allows(began)) {
            loop_.timers.cancel(resume_timer_);  // may be due in this pass
            schedule_read();
            break;
        }
        if (!(started_ ? read_message() : read_startup())) {
            break;
        }
        pacer_.message_handled();
        state_ = State::none;  // restarts the time limit of the state for the next message
        message_began_ = clock_now();
    }
    if (has_grown) {
        progressed_at_ = clock_now();
    }
    if (has_grown && state_ == State::partial_message) {
        state_ = State::none;  // the message has grown, so its time limit starts again
    }
    seen_bytes_ = in_.size();
    if (ending_) {
        in_.drop(in_.size());
    }
    update_state();
    owner_.partial_message_changed(client_);
    if (owner_.shutting_down() && !closed() && is_idle()) {
        owner_.remove(client_);
    }
}

void ClientConnection::on_written() {
    if (!in_.empty() && !request_) {
        schedule_read();
    }
    if (!ending_) {
        update_state();
    }
    owner_.unread_answer_changed(client_);
}

void ClientConnection::on_closed() {
    if (request_) {
        const RequestId request = *request_;
        request_.reset();
        handler_.client_disconnected(request);
    }
    owner_.remove(client_);
}

// Returns false if no complete message was read.
bool ClientConnection::read_startup() {
    std::uint32_t code = 0;
    std::string_view body;
    std::size_t message_size = 0;
    switch (pg::next_startup(in_.all(), code, body, message_size)) {
        case pg::Read::more:
            return false;
        case pg::Read::bad:
            fail(ClientError::malformed_startup);
            return false;
        case pg::Read::whole:
            break;
    }
    in_.drop(message_size);
    handle_startup(code);
    return true;
}

void ClientConnection::handle_startup(std::uint32_t code) {
    const std::uint32_t minor_version = code & 0xffff;
    if (code == pg::kSslRequest || code == pg::kGssRequest) {
        if (++encryption_requests_ > kMaxEncryptionRequests) {
            return fail(ClientError::encryption_unsupported);
        }
        return put("N");
    }
    if (code == pg::kCancelRequest) {
        // The protocol defines no answer to a cancel request, and nothing can be cancelled here.
        return end();
    }
    if (code >> 16 != pg::kMajorVersion) {
        return fail(ClientError::protocol_version_unsupported);
    }
    started_ = true;
    if (minor_version > 0) {
        put(pg::negotiate_protocol_version(0));
    }
    put(pg::welcome());
}

// Returns false if no complete message was read. A client that sends malformed input usually
// repeats it after a rejection, so the connection is closed with an error, as soon as the first
// bytes show that the input is malformed.
bool ClientConnection::read_message() {
    if (const char first = in_.all()[0]; first != 'Q' && first != 'X') {
        fail(ClientError::message_type_unsupported);
        return false;
    }
    char type = 0;
    std::string_view body;
    std::size_t message_size = 0;
    switch (pg::next(in_.all(), kMaxMessageBytes, type, body, message_size)) {
        case pg::Read::more:
            return false;
        case pg::Read::bad:
            fail(ClientError::malformed_length);
            return false;
        case pg::Read::whole:
            break;
    }
    if (!handle_message(type, body)) {
        return false;
    }
    in_.drop(message_size);
    return true;
}

// Returns false if the message has to stay in the buffer for now.
bool ClientConnection::handle_message(char type, std::string_view body) {
    if (type == 'X') {
        end();
        return true;
    }
    if (!pg::is_single_text(body)) {
        fail(ClientError::unterminated_query);
        return true;
    }
    if (is_empty_query(body)) {
        return answer_empty_query();
    }
    body.remove_suffix(1);
    read_query(body);
    return true;
}

// Clients send the empty query to find out whether this sidecar can serve.
bool ClientConnection::answer_empty_query() {
    awaiting_readiness_ = !handler_.can_serve();
    if (awaiting_readiness_) {
        return false;
    }
    answered_at_ = clock_now();
    put(pg::empty_query_response());
    return true;
}

void ClientConnection::read_query(std::string_view text) {
    const auto read = read_client_query(text);
    if (const auto* error = std::get_if<ClientError>(&read)) {
        return fail(*error);
    }
    request_ = handler_.admit(client_, std::get<ClientQuery>(read), query_arrived_at());
    if (!request_) {
        return fail(ClientError::unknown_class_or_duplicate_id);
    }
    handler_.request_admitted(*request_);
}

// The time of a request counts from its last byte, but not the time that it spends waiting for the
// answers before it. A process that stood still reads the request long after it arrived; otherwise
// the reading follows the arrival at once.
Seconds ClientConnection::query_arrived_at() const {
    const Seconds now = clock_now();
    const Seconds age = latest_input_age();
    return age <= kSuspensionThreshold ? now : std::max(answered_at_, now - age);
}

}  // namespace tideline::net
