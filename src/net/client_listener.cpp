#include "net/client_listener.hpp"

#include <fmt/core.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "net/limits.hpp"

namespace tideline::net {

ClientListener::ClientListener(EventLoop& loop, Owner& owner, Seconds longest_time_limit,
                               const MemoryLimits& memory_limits)
    : loop_(loop),
      owner_(owner),
      longest_time_limit_(longest_time_limit),
      memory_limits_(memory_limits) {}
ClientListener::~ClientListener() {
    loop_.timers.cancel(close_idle_timer_);
    stop_listening();
}

bool ClientListener::listen(const Address& address) {
    listening_ = listen_at(address);
    if (!listening_.valid()) {
        return false;
    }
    loop_.watch(listening_.get(), this, POLLIN);
    return true;
}

void ClientListener::stop_listening() {
    loop_.timers.cancel(resume_accepting_timer_);
    if (!listening_.valid()) {
        return;
    }
    loop_.unwatch(listening_.get());
    listening_.reset();
}

void ClientListener::ready(short) {
    accept_clients();
}

void ClientListener::accept_clients() {
    for (int i = 0; i < kMaxAcceptsPerPass || shutting_down_; ++i) {
        if (!accept_client()) {
            return;
        }
    }
}

// Returns false if no further client can be accepted in this pass of the event loop.
bool ClientListener::accept_client() {
    if (!owner_.has_room_for_client()) {
        pause_accepting();
        return false;
    }
    const int fd = ::accept4(listening_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
        ClientConnection::Owner& connection_owner = *this;
        const ClientId client{connections_.add(std::make_unique<ClientConnection>(
            loop_, connection_owner, owner_, longest_time_limit_))};
        (*connections_.find(client.value))->begin(client, fd);
        return true;
    }
    if (errno == EINTR || errno == ECONNABORTED) {
        return true;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
        pause_accepting();
    }
    return false;
}

// The listening socket stays readable while no descriptor is left: without this pause the event
// loop would spin.
void ClientListener::pause_accepting() {
    ++accept_pauses_;
    loop_.set_events(listening_.get(), 0);
    if (resume_accepting_timer_ != Timers::kNone) {
        return;
    }
    resume_accepting_timer_ = loop_.timers.at(clock_now() + kAcceptPause, [this] {
        resume_accepting_timer_ = Timers::kNone;
        loop_.set_events(listening_.get(), POLLIN);
    });
}

void ClientListener::answer(ClientId client, std::string_view bytes) {
    if (auto* connection = connections_.find(client.value)) {
        (*connection)->answer(bytes);
    }
}

bool ClientListener::is_connected(ClientId client) {
    auto* connection = connections_.find(client.value);
    return connection && !(*connection)->detect_close();
}

void ClientListener::resume_waiting_clients() {
    connections_.each([](std::uint64_t, auto& connection) { connection->schedule_read(); });
}

// Limits the memory of what clients leave undone: hundreds of them that each send all but the last
// byte of a statement of the largest size, or that take no answers, would exceed the memory limit
// of the process.
void ClientListener::partial_message_changed(ClientId client) {
    if (auto* connection = connections_.find(client.value)) {
        partial_messages_.set(client, (*connection)->partial_message_bytes());
    }
    while (partial_messages_.total() > memory_limits_.partial_messages) {
        reject_longest_partial_message();
    }
}

void ClientListener::unread_answer_changed(ClientId client) {
    if (auto* connection = connections_.find(client.value)) {
        unread_answers_.set(client, (*connection)->unread_answer_bytes());
    }
    while (unread_answers_.total() > memory_limits_.unread_answers) {
        close_longest_unread();
    }
}

// Returns the client in the table that has made no progress for the longest time.
ClientId ClientListener::longest_stalled(const ClientMemoryTable& table) {
    const auto progressed_at = [this](ClientId client) {
        return (*connections_.find(client.value))->progressed_at();
    };
    const auto longest = std::min_element(
        table.clients().begin(), table.clients().end(), [&](const auto& one, const auto& other) {
            return progressed_at(one.first) < progressed_at(other.first);
        });
    return longest->first;
}

void ClientListener::reject_longest_partial_message() {
    const ClientId longest = longest_stalled(partial_messages_);
    partial_messages_.erase(longest);
    (*connections_.find(longest.value))->reject(ClientError::too_many_partial_messages);
}

// The client can't be told: what it would have to read first is the answer that it does not take.
void ClientListener::close_longest_unread() {
    const ClientId longest = longest_stalled(unread_answers_);
    connection_rejected(ClientError::answers_not_read);
    remove(longest);
}

// Clients that send one query and keep their connection open would use up the descriptors reserved
// for clients. Above a maximum number of idle connections, those that have been idle for the
// longest time are closed, because clients that still send queries are seldom idle for long.
void ClientListener::close_excess_idle_later() {
    if (close_idle_timer_ != Timers::kNone || uses_.idle_count() <= owner_.max_idle_clients()) {
        return;
    }
    close_idle_timer_ = loop_.timers.at(clock_now() + kClientSettleDelay, [this] {
        close_idle_timer_ = Timers::kNone;
        bool closed = true;
        while (closed && uses_.idle_count() > owner_.max_idle_clients()) {
            closed = close_one_client(kClientSettleDelay, ClientUse::idle);
        }
        close_excess_idle_later();
    });
}

std::string ClientListener::report() const {
    std::string text = fmt::format(
        "clients={} clients_silent={} clients_partial_message={} clients_idle={} "
        "clients_closed_for_room={} clients_closed_behind_input={} clients_accept_pauses={} "
        "partial_message_bytes={} unread_answer_bytes={}",
        connections_.size(), uses_.count(ClientUse::silent),
        uses_.count(ClientUse::partial_message), uses_.count(ClientUse::idle), closed_for_room_,
        closed_behind_input_, accept_pauses_, partial_messages_.total(), unread_answers_.total());
    for (const auto& [error, times] : rejections_by_error_) {
        text += fmt::format(" clients_turned_away[{}]={}", text_of(error), times);
    }
    return text;
}

bool ClientListener::can_close(const ClientUseTable::Candidate& candidate, Seconds idle_for) {
    const auto [use, since, client] = candidate;
    Seconds min_idle = idle_for;
    if (use == ClientUse::silent) {
        min_idle = kClientSettleDelay;
    } else if (use == ClientUse::partial_message) {
        min_idle = kPartialMessageTimeout / 4;
    }
    if (clock_now() - since < min_idle) {
        return false;
    }
    // The use is updated only after a message has been handled, which may ask for room itself.
    ClientConnection& connection = **connections_.find(client);
    if (connection.has_request()) {
        return false;
    }
    return use == ClientUse::idle ? connection.is_idle() : !connection.has_unread_input();
}

// Closes a connection that is of little use. Without this, clients that send nothing, or only a
// part of a message, would keep all others out.
bool ClientListener::close_one_client(Seconds idle_for, ClientUse from) {
    const auto& candidates = uses_.candidates();
    for (auto it = candidates.lower_bound({from, 0, 0}); it != candidates.end(); ++it) {
        if (!can_close(*it, idle_for)) {
            continue;
        }
        const ClientId client{std::get<std::uint64_t>(*it)};
        ++closed_for_room_;
        remove(client);
        return true;
    }
    return false;
}

// Connections that wait in the backlog may already hold a request, so all of them are accepted
// first. An idle connection with no unread input is closed in both directions: a client whose query
// crosses the close then learns from the reset that the query was not read. If only one direction
// were closed, such a query would be read and never answered. For the same reason a client that is
// sending or reading is not cut off, however late it is: each has its own time to make progress.
void ClientListener::shut_down() {
    if (!shutting_down_) {
        shutting_down_ = true;
        accept_clients();
        stop_listening();
    }
    std::vector<ClientId> idle;
    connections_.each([&](std::uint64_t client, auto& connection) {
        if (connection->is_idle()) {
            idle.push_back(ClientId{client});
        } else if (connection->has_stalled_for(kStalledClientTimeout)) {
            connection->reject(ClientError::shutting_down);
        }
    });
    for (const ClientId client : idle) {
        remove(client);
    }
}

void ClientListener::remove(ClientId client) {
    auto* connection = connections_.find(client.value);
    if (!connection) {
        return;
    }
    uses_.erase(client);
    partial_messages_.erase(client);
    unread_answers_.erase(client);
    (*connection)->close();
    loop_.destroy_after_pass(std::move(*connection));
    connections_.remove(client.value);
    owner_.connection_ended(client);
}

}  // namespace tideline::net
