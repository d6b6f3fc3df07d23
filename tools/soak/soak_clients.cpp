#include "soak/soak_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "net/postgres_protocol.hpp"

namespace tideline::soak {
namespace {

constexpr std::array<const char*, 3> kRequestClasses = {"read", "charge", "instalment"};
constexpr Seconds kReconnectInterval = 0.02;
constexpr Seconds kMaxTimeLimit = 1.5;  // the time limit in the settings
// Shares of the requests that are sent in pieces, have a short time limit, or whose client closes
// the connection or its sending side before the answer.
constexpr double kSplitShare = 0.15;
constexpr double kShortTimeLimitShare = 0.1;
constexpr double kEarlyCloseShare = 0.05;
constexpr double kHalfCloseShare = 0.02;

}  // namespace

SoakClients::SoakClients(net::EventLoop& loop, SoakRecord& record, const net::Address& sidecar,
                         std::uint32_t seed)
    : loop_(loop),
      record_(record),
      sidecar_(sidecar),
      random_(seed),
      name_(fmt::format("s{}", seed)) {}

SoakClients::~SoakClients() {
    loop_.timers.cancel(reconnect_timer_);
    for (auto& [number, client] : clients_) {
        loop_.timers.cancel(client.timer);
    }
}

Seconds SoakClients::draw(Seconds from, Seconds to) {
    return std::uniform_real_distribution<Seconds>(from, to)(random_);
}

void SoakClients::keep_connections_open(int connections) {
    target_count_ = connections;
    open_missing_connections();
}

void SoakClients::set_reconnecting(bool reconnecting) {
    reconnecting_ = reconnecting;
    open_missing_connections();
}

bool SoakClients::has_open_request() const {
    return std::any_of(clients_.begin(), clients_.end(),
                       [](const auto& each) { return each.second.request.has_value(); });
}

void SoakClients::on_process_killed() {
    for (auto& [number, client] : clients_) {
        if (client.request && record_.requests[*client.request].outcome == RequestOutcome::open) {
            record_.requests[*client.request].outcome = RequestOutcome::sidecar_killed;
        }
    }
}

// Opens the connections that are missing, and checks again after kReconnectInterval.
void SoakClients::open_missing_connections() {
    loop_.timers.cancel(reconnect_timer_);
    while (reconnecting_ && static_cast<int>(clients_.size()) < target_count_) {
        open_connection();
    }
    reconnect_timer_ = loop_.timers.at(net::clock_now() + kReconnectInterval, [this] {
        reconnect_timer_ = net::Timers::kNone;
        open_missing_connections();
    });
}

void SoakClients::open_connection() {
    const int number = ++last_number_;
    SoakConnection::Owner& owner = *this;
    clients_[number].connection = std::make_unique<SoakConnection>(loop_, owner, number, sidecar_);
}

void SoakClients::remove_client(int number) {
    const auto found = clients_.find(number);
    loop_.timers.cancel(found->second.timer);
    found->second.connection->close();
    loop_.destroy_after_pass(std::move(found->second.connection));
    clients_.erase(found);
}

void SoakClients::on_connection_free(int number) {
    Client& client = clients_.at(number);
    loop_.timers.cancel(client.timer);
    const Seconds pause = draw(0, 1) < 0.3 ? 0 : draw(0.001, 0.02);
    client.timer = loop_.timers.at(net::clock_now() + pause, [this, number] {
        clients_.at(number).timer = net::Timers::kNone;
        send_next_request(number);
    });
}

void SoakClients::send_next_request(int number) {
    Client& client = clients_.at(number);
    if (stopped_ || !client.connection->is_free()) {
        return;
    }
    SoakRequest request;
    request.id = fmt::format("{}q{}", name_, ++last_request_);
    request.request_class = kRequestClasses[random_() % kRequestClasses.size()];
    request.time_limit =
        draw(0, 1) < kShortTimeLimitShare ? draw(0.001, 0.02) : draw(0.3, kMaxTimeLimit);
    request.sent_at = net::clock_now();
    const std::string key =
        request.request_class == "instalment" ? fmt::format(",k={}", request.id) : "";
    const std::string statement = fmt::format(
        "INSERT INTO records (k, v) VALUES ('7f', '\\x01') RETURNING v /* id={},c={},t=desk,d={}{} "
        "*/",
        request.id, request.request_class, std::max(1, static_cast<int>(request.time_limit * 1e3)),
        key);
    client.request = record_.requests.size();
    record_.requests.push_back(std::move(request));
    client.connection->send(pieces_of(net::pg::query(statement)));
}

std::deque<Piece> SoakClients::pieces_of(const std::string& message) {
    if (draw(0, 1) >= kSplitShare) {
        return {{0, message}};
    }
    const std::size_t cut = 1 + random_() % (message.size() - 1);
    return {{0, message.substr(0, cut)}, {draw(0.001, 0.05), message.substr(cut)}};
}

void SoakClients::on_request_sent(int number) {
    Client& client = clients_.at(number);
    SoakRequest& request = record_.requests[*client.request];
    request.sent_at = net::clock_now();
    const double choice = draw(0, 1);
    if (choice >= kEarlyCloseShare + kHalfCloseShare) {
        return;
    }
    const bool closes_half = choice >= kEarlyCloseShare;
    client.timer = loop_.timers.at(net::clock_now() + draw(0, 0.03), [this, number, closes_half] {
        Client& leaving = clients_.at(number);
        leaving.timer = net::Timers::kNone;
        if (!leaving.request) {
            return;
        }
        SoakRequest& abandoned = record_.requests[*leaving.request];
        abandoned.outcome = RequestOutcome::client_gone;
        if (closes_half) {
            return leaving.connection->finish_sending();
        }
        abandoned.closed_at = net::clock_now();
        remove_client(number);
    });
}

void SoakClients::on_request_answered(int number, const std::string* value) {
    if (!first_answer_at_) {
        first_answer_at_ = net::clock_now();
    }
    Client& client = clients_.at(number);
    // Between requests a sidecar may send an error that says why it closes the connection.
    if (!client.request) {
        return;
    }
    SoakRequest& request = record_.requests[*client.request];
    if (++request.answers == 1) {
        request.answered_at = net::clock_now();
        request.outcome = RequestOutcome::answered;
        if (value) {
            request.value = *value;
        }
    }
    // After an error the sidecar may close the connection without sending anything more.
    client.request.reset();
}

void SoakClients::on_connection_ended(int number, bool unread) {
    Client& client = clients_.at(number);
    if (client.request) {
        SoakRequest& request = record_.requests[*client.request];
        request.ended_at = net::clock_now();
        if (request.outcome == RequestOutcome::open) {
            request.outcome = unread ? RequestOutcome::closed_unread : RequestOutcome::closed_read;
        }
    }
    remove_client(number);
}

}  // namespace tideline::soak
