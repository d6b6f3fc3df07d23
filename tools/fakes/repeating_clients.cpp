#include "fakes/repeating_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace tideline::fakes {
namespace {

const char* name_of(CallResult result) {
    switch (result) {
        case CallResult::nothing:
            return "no answer";
        case CallResult::succeeded:
            return "succeeded";
        case CallResult::rejected:
            return "rejected";
        case CallResult::failed:
            return "failed";
        case CallResult::wrong:
            return "wrong value";
    }
    return "unknown result";
}

}  // namespace

std::string attempts_of(const RepeatedRequest& request) {
    std::string text = "\n        " + request.key + ":";
    for (const Attempt& attempt : request.attempts) {
        text += fmt::format(" [n{} {} after {:.2f} s \"{}\"]", attempt.sidecar + 1,
                            name_of(attempt.result), attempt.latency, attempt.answer);
    }
    return text;
}

RepeatingClients::RepeatingClients(net::EventLoop& loop, std::vector<net::Address> sidecars,
                                   std::vector<std::string> request_classes, std::uint32_t seed)
    : loop_(loop),
      sidecars_(std::move(sidecars)),
      request_classes_(std::move(request_classes)),
      random_(seed),
      name_(fmt::format("r{}", seed)) {}
RepeatingClients::~RepeatingClients() {
    *alive_ = false;
    loop_.timers.cancel(next_timer_);
}
double RepeatingClients::draw(double from, double to) {
    return from + (to - from) * static_cast<double>(random_()) /
                      (1.0 + static_cast<double>(random_.max()));
}
std::size_t RepeatingClients::draw_index(std::size_t count) {
    return static_cast<std::size_t>(draw(0, static_cast<double>(count)));
}
void RepeatingClients::begin(double rate) {
    rate_ = rate;
    schedule_next_request();
}
void RepeatingClients::stop() {
    stopped_ = true;
    loop_.timers.cancel(next_timer_);
}
void RepeatingClients::schedule_next_request() {
    next_timer_ = loop_.timers.at(net::clock_now() - std::log(draw(1e-9, 1)) / rate_, [this] {
        next_timer_ = net::Timers::kNone;
        // A statement each: the order in which arguments are evaluated is open.
        const std::size_t sidecar = draw_index(sidecars_.size());
        const std::size_t request_class = draw_index(request_classes_.size());
        submit(request_classes_[request_class], static_cast<int>(sidecar));
        schedule_next_request();
    });
}
std::size_t RepeatingClients::submit(const std::string& request_class, int sidecar,
                                     bool retried_by_client) {
    const std::size_t request_index = requests.size();
    RepeatedRequest request;
    request.request_class = request_class;
    request.key = fmt::format("{}k{}", name_, request_index);
    requests.push_back(std::move(request));
    retried_by_client_.push_back(retried_by_client);
    retry(request_index, sidecar);
    return request_index;
}
void RepeatingClients::retry(std::size_t request_index, int sidecar) {
    auto& connections = connections_[sidecar];
    const auto free = std::find_if(connections.begin(), connections.end(),
                                   [](auto& connection) { return connection->idle(); });
    ClientConnection* connection = free == connections.end() ? nullptr : free->get();
    if (!connection) {
        connection = connections
                         .emplace_back(std::make_unique<ClientConnection>(
                             loop_, sidecars_[static_cast<std::size_t>(sidecar)],
                             [this, sidecar](ClientConnection* ended) {
                                 auto& all = connections_[sidecar];
                                 const auto it =
                                     std::find_if(all.begin(), all.end(),
                                                  [&](auto& each) { return each.get() == ended; });
                                 if (it == all.end()) {
                                     return;
                                 }
                                 loop_.destroy_after_pass(std::move(*it));
                                 all.erase(it);
                             }))
                         .get();
    }
    RepeatedRequest& request = requests[request_index];
    const std::size_t number = request.attempts.size();
    Attempt attempt;
    attempt.sidecar = sidecar;
    attempt.sent_at = net::clock_now();
    request.attempts.push_back(attempt);
    connection->send(fmt::format("INSERT INTO records (k, v) VALUES ('7f', '\\x01') RETURNING v /* "
                                 "id={}a{},c={},t=desk,d={},k={} */",
                                 request.key, number, request.request_class,
                                 static_cast<int>(time_limit * 1e3), request.key),
                     [this, request_index, number](CallResult result, const std::string& answer) {
                         RepeatedRequest& record = requests[request_index];
                         Attempt& answered = record.attempts[number];
                         ++answered.answers;
                         answered.result = result;
                         answered.answer = answer;
                         answered.latency = net::clock_now() - answered.sent_at;
                         if (result == CallResult::succeeded && record.succeeded_at == 0) {
                             record.succeeded_at = net::clock_now();
                         }
                         const bool done = result == CallResult::succeeded
                                               ? draw(0, 1) >= retry_share_after_success
                                               : draw(0, 1) < 0.1;
                         if (done) {
                             record.finished = true;
                         } else {
                             schedule_retry(request_index, draw(0.01, 0.4));
                         }
                     });
    // If no answer arrives within the time limit, the client retries at a random sidecar.
    const auto alive = alive_;
    loop_.timers.at(net::clock_now() + time_limit + 0.2, [this, alive, request_index, number] {
        if (*alive && requests[request_index].attempts[number].answers == 0) {
            schedule_retry(request_index, 0);
        }
    });
}
void RepeatingClients::schedule_retry(std::size_t request_index, Seconds after) {
    if (!retried_by_client_[request_index] || stopped_ ||
        static_cast<int>(requests[request_index].attempts.size()) >= max_attempts) {
        requests[request_index].finished = true;
        return;
    }
    const auto alive = alive_;
    loop_.timers.at(net::clock_now() + after, [this, alive, request_index] {
        if (!*alive || stopped_ || requests[request_index].finished) {
            return;
        }
        retry(request_index, static_cast<int>(draw_index(sidecars_.size())));
    });
}
std::size_t RepeatingClients::open() const {
    std::size_t count = 0;
    const Seconds now = net::clock_now();
    for (const RepeatedRequest& each : requests) {
        for (const Attempt& attempt : each.attempts) {
            count += attempt.answers == 0 && now < attempt.sent_at + time_limit + 0.3;
        }
    }
    return count;
}

}  // namespace tideline::fakes
