// The states of a client connection and their time limits.
#include <algorithm>

#include "net/client_connection.hpp"
#include "net/limits.hpp"
#include "net/postgres_protocol.hpp"

namespace tideline::net {

ClientConnection::State ClientConnection::current_state() const {
    if (ending_) {
        return State::closing;
    }
    if (request_) {
        return State::request_in_flight;
    }
    if (!all_written()) {
        return State::unread_answers;
    }
    if (awaiting_readiness_) {
        return State::awaiting_readiness;
    }
    if (!started_) {
        return State::awaiting_startup;
    }
    return in_.empty() ? State::idle : State::partial_message;
}

ClientUse ClientConnection::use_in_state(State state) {
    switch (state) {
        case State::awaiting_startup:
        case State::closing:
            return ClientUse::silent;
        case State::partial_message:
            return ClientUse::partial_message;
        case State::idle:
            return ClientUse::idle;
        default:
            return ClientUse::needed;
    }
}

// Every state in which a client may be silent either has a time limit or allows the connection to
// be closed to make room. Without that, silent clients would hold descriptors and memory forever.
void ClientConnection::update_state() {
    if (closed()) {
        return;
    }
    in_.set_max_bytes(max_input_bytes());
    const State state = current_state();
    if (state == state_) {
        return;
    }
    state_ = state;
    loop_.timers.cancel(state_timer_);
    owner_.use_changed(client_, use_in_state(state));
    start_state_timeout(state);
}

// No more is read than the initial buffer holds, or the first message if that is longer: what
// follows it stays in the kernel's buffer, also while a request is in flight.
std::size_t ClientConnection::max_input_bytes() {
    if (request_ || in_.empty()) {
        return kInitialBufferBytes;
    }
    const std::size_t stated =
        started_ ? pg::stated_size(in_.all()) : pg::stated_startup_size(in_.all());
    const std::size_t largest = started_ ? kMaxMessageBytes + 1 : kMaxStartupBytes;
    return std::max(kInitialBufferBytes, std::min(stated, largest));
}

void ClientConnection::start_state_timeout(State state) {
    if (state == State::awaiting_startup) {
        fail_after(kStartupMessageTimeout, ClientError::no_startup_message);
    } else if (state == State::partial_message) {
        // The message may take as long as the longest time limit of any request, but each pause in
        // it is limited.
        const Seconds allowed = std::max(kPartialMessageTimeout, longest_time_limit_);
        const Seconds left = allowed - (clock_now() - message_began_);
        fail_after(std::min(kPartialMessageTimeout, left), ClientError::partial_message_stalled);
    } else if (state == State::unread_answers) {
        fail_after(std::max(kUnreadAnswerTimeout, longest_time_limit_),
                   ClientError::answers_not_read);
    } else if (state == State::idle) {
        owner_.became_idle();
    } else if (state == State::closing) {
        const Seconds linger = failed_ ? kErrorLingerTimeout : kClientLingerTimeout;
        state_timer_ = loop_.timers.at(clock_now() + linger, [this] {
            state_timer_ = Timers::kNone;
            owner_.remove(client_);
        });
    }
}

void ClientConnection::fail_after(Seconds delay, ClientError error) {
    state_timer_ = loop_.timers.at(clock_now() + delay, [this, error] {
        state_timer_ = Timers::kNone;
        fail(error);
    });
}

}  // namespace tideline::net
