#include "soak/soak_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "net/postgres_protocol.hpp"

namespace tideline::soak {
namespace {

constexpr std::array<const char*, 3> kClasses = {"read", "charge", "instalment"};
constexpr Seconds kReconnectInterval = 0.02;
constexpr Seconds kMostTime = 1.5;  // the time limit in the settings
// Shares of the requests that are sent in pieces, have a short time limit, or whose client closes
// the connection or its sending side before the answer.
constexpr double kInPieces = 0.15;
constexpr double kLittleTime = 0.1;
constexpr double kClosedEarly = 0.05;
constexpr double kHalfClosed = 0.02;

}  // namespace

SoakClients::SoakClients(net::EventLoop& loop, SoakRecord& record, const net::Address& sidecar,
                         std::uint32_t seed)
    : loop_(loop),
      record_(record),
      sidecar_(sidecar),
      random_(seed),
      name_(fmt::format("s{}", seed)) {}

SoakClients::~SoakClients() {
    loop_.timers.cancel(fill_timer_);
    for (auto& [number, client] : clients_) {
        loop_.timers.cancel(client.timer);
    }
}

Seconds SoakClients::draw(Seconds from, Seconds to) {
    return std::uniform_real_distribution<Seconds>(from, to)(random_);
}

void SoakClients::keep_open(int connections) {
    wanted_ = connections;
    fill();
}

void SoakClients::set_reconnecting(bool reconnecting) {
    reconnecting_ = reconnecting;
    fill();
}

bool SoakClients::waiting() const {
    return std::any_of(clients_.begin(), clients_.end(),
                       [](const auto& each) { return each.second.request.has_value(); });
}

void SoakClients::process_killed() {
    for (auto& [number, client] : clients_) {
        if (client.request && record_.requests[*client.request].ending == Ending::open) {
            record_.requests[*client.request].ending = Ending::process_vanished;
        }
    }
}

// Opens the connections that are missing, and checks again after kReconnectInterval.
void SoakClients::fill() {
    loop_.timers.cancel(fill_timer_);
    while (reconnecting_ && static_cast<int>(clients_.size()) < wanted_) {
        open_connection();
    }
    fill_timer_ = loop_.timers.at(net::clock_now() + kReconnectInterval, [this] {
        fill_timer_ = net::Timers::kNone;
        fill();
    });
}

void SoakClients::open_connection() {
    const int number = ++last_number_;
    SoakConnection::Owner& owner = *this;
    clients_[number].connection = std::make_unique<SoakConnection>(loop_, owner, number, sidecar_);
}

void SoakClients::remove(int number) {
    const auto found = clients_.find(number);
    loop_.timers.cancel(found->second.timer);
    found->second.connection->close();
    loop_.destroy_after_pass(std::move(found->second.connection));
    clients_.erase(found);
}

void SoakClients::connection_free(int number) {
    Client& client = clients_.at(number);
    loop_.timers.cancel(client.timer);
    const Seconds pause = draw(0, 1) < 0.3 ? 0 : draw(0.001, 0.02);
    client.timer = loop_.timers.at(net::clock_now() + pause, [this, number] {
        clients_.at(number).timer = net::Timers::kNone;
        next_request(number);
    });
}

void SoakClients::next_request(int number) {
    Client& client = clients_.at(number);
    if (stopped_ || !client.connection->free()) {
        return;
    }
    SoakRequest request;
    request.id = fmt::format("{}q{}", name_, ++last_request_);
    request.request_class = kClasses[random_() % kClasses.size()];
    request.time_limit = draw(0, 1) < kLittleTime ? draw(0.001, 0.02) : draw(0.3, kMostTime);
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
    if (draw(0, 1) >= kInPieces) {
        return {{0, message}};
    }
    const std::size_t cut = 1 + random_() % (message.size() - 1);
    return {{0, message.substr(0, cut)}, {draw(0.001, 0.05), message.substr(cut)}};
}

void SoakClients::request_sent(int number) {
    Client& client = clients_.at(number);
    SoakRequest& request = record_.requests[*client.request];
    request.sent_at = net::clock_now();
    const double kind = draw(0, 1);
    if (kind >= kClosedEarly + kHalfClosed) {
        return;
    }
    const bool half = kind >= kClosedEarly;
    client.timer = loop_.timers.at(net::clock_now() + draw(0, 0.03), [this, number, half] {
        Client& leaving = clients_.at(number);
        leaving.timer = net::Timers::kNone;
        if (!leaving.request) {
            return;
        }
        SoakRequest& left = record_.requests[*leaving.request];
        left.ending = Ending::client_gone;
        if (half) {
            return leaving.connection->finish_sending();
        }
        left.closed_at = net::clock_now();
        remove(number);
    });
}

void SoakClients::request_answered(int number, const std::string* value) {
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
        request.ending = Ending::answered;
        if (value) {
            request.value = *value;
        }
    }
    // After an error the sidecar may close the connection without sending anything more.
    client.request.reset();
}

void SoakClients::connection_ended(int number, bool unread) {
    Client& client = clients_.at(number);
    if (client.request) {
        SoakRequest& request = record_.requests[*client.request];
        request.ended_at = net::clock_now();
        if (request.ending == Ending::open) {
            request.ending = unread ? Ending::closed_unread : Ending::closed_read;
        }
    }
    remove(number);
}

}  // namespace tideline::soak
