#include "fakes/fake_clients.hpp"

#include <algorithm>
#include <cmath>

namespace tideline::fakes {

FakeClients::FakeClients(net::EventLoop& loop, net::Address sidecar, std::string tenant,
                         std::uint32_t seed)
    : loop_(loop), sidecar_(sidecar), tenant_(std::move(tenant)), random_(seed) {}
FakeClients::~FakeClients() {
    stop();
}

void FakeClients::begin(double rate) {
    rate_ = rate;
    schedule_next_request();
}
void FakeClients::stop() {
    loop_.timers.cancel(next_timer_);
}
std::size_t FakeClients::open() const {
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
                                                  [](auto& each) { return each.answers == 0; }));
}
void FakeClients::schedule_next_request() {
    const double unit =
        (1.0 + static_cast<double>(random_())) / (2.0 + static_cast<double>(random_.max()));
    next_timer_ = loop_.timers.at(net::clock_now() - std::log(unit) / rate_, [this] {
        next_timer_ = net::Timers::kNone;
        send();
        schedule_next_request();
    });
}
void FakeClients::send() {
    const auto free = std::find_if(connections_.begin(), connections_.end(),
                                   [](auto& connection) { return connection->idle(); });
    ClientConnection* connection = free == connections_.end() ? nullptr : free->get();
    if (!connection) {
        connection =
            connections_
                .emplace_back(std::make_unique<ClientConnection>(
                    loop_, sidecar_, [this](ClientConnection* ended) { remove_connection(ended); }))
                .get();
    }
    const std::string id = tenant_ + "x" + std::to_string(requests.size());
    requests.push_back({net::clock_now(), 0, time_limit, CallResult::nothing, 0});
    connection->send(
        "SELECT v FROM records WHERE k = '7f' /* id=" + id +
            ",c=" + (random_() % 8 ? "read" : "charge") + ",t=" + tenant_ +
            ",d=" + std::to_string(static_cast<int>(time_limit * 1e3)) + " */",
        [this, number = requests.size() - 1, id](CallResult result, const std::string& value) {
            ClientRequest& request = requests[number];
            request.result = result == CallResult::succeeded && value != "value of " + id
                                 ? CallResult::wrong
                                 : result;
            ++request.answers;
            request.latency = net::clock_now() - request.sent_at;
        });
}
void FakeClients::remove_connection(ClientConnection* ended) {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](auto& each) { return each.get() == ended; });
    if (it == connections_.end()) {
        return;
    }
    loop_.destroy_after_pass(std::move(*it));
    connections_.erase(it);
}

}  // namespace tideline::fakes
