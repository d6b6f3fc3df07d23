// Simulated clients of one sidecar, which send requests at a given mean rate.
#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/client_connection.hpp"

namespace tideline::fakes {

// One request and its outcome, which the checks read. Times in seconds of net::clock_now.
struct ClientRequest {
    Seconds sent_at = 0;
    Seconds latency = 0;
    Seconds time_limit = 0;
    CallResult result = CallResult::nothing;
    int answers = 0;
};

// Sends independent requests at random times and keeps the outcome of each in `requests`. Used only
// on the thread of the event loop, which must outlive it.
class FakeClients {
  public:
    // `tenant` is written into each statement, so that endpoints can tell whose request it is.
    FakeClients(net::EventLoop& loop, net::Address sidecar, std::string tenant, std::uint32_t seed);
    ~FakeClients();
    void begin(double rate);   // starts to send `rate` requests per second
    void stop();               // sends no further requests
    std::size_t open() const;  // number of requests that were sent and not answered
    std::vector<ClientRequest> requests;
    Seconds time_limit = 1.5;  // s: the time limit in each statement

  private:
    void schedule_next_request();
    void send();
    void remove_connection(ClientConnection* ended);
    net::EventLoop& loop_;
    const net::Address sidecar_;
    const std::string tenant_;
    std::ranlux24_base random_;
    std::vector<std::unique_ptr<ClientConnection>> connections_;
    double rate_ = 0;
    net::Timers::Id next_timer_ = net::Timers::kNone;
};

}  // namespace tideline::fakes
