// Simulated clients of the sidecars of a cluster. Their requests must not run twice, and they retry
// them at other sidecars until they have an answer. Each attempt has a new id; all attempts of a
// request share its idempotency key.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fakes/client_connection.hpp"

namespace tideline::fakes {

// One attempt at one sidecar, numbered from 0. Times in seconds of net::clock_now.
struct Attempt {
    int sidecar = 0;
    Seconds sent_at = 0;
    Seconds latency = 0;
    CallResult result = CallResult::nothing;
    int answers = 0;
    std::string answer;
};
struct RepeatedRequest {
    std::string key;
    std::string request_class;
    std::vector<Attempt> attempts;
    bool finished = false;     // its client does not retry it any more
    Seconds succeeded_at = 0;  // when its client first received the answer; 0: never
};

// Formats a request for the message of a failed check, on a line of its own: its key, then for each
// attempt the sidecar, the result, the seconds until the answer and the answer's text.
std::string attempts_of(const RepeatedRequest& request);

// Used only on the thread of the event loop, which must outlive it.
class RepeatingClients {
  public:
    // The class of each new request is chosen at random from `request_classes`.
    RepeatingClients(net::EventLoop& loop, std::vector<net::Address> sidecars,
                     std::vector<std::string> request_classes, std::uint32_t seed);
    ~RepeatingClients();
    void begin(double rate);  // starts to send `rate` new requests per second
    void stop();              // sends no new requests and no further retries
    // Sends a new request to `sidecar`, numbered from 0. With `retried_by_client`, the client also
    // retries it until it has succeeded. Returns its index in `requests`.
    std::size_t submit(const std::string& request_class, int sidecar,
                       bool retried_by_client = true);
    // Sends one more attempt of a request.
    void retry(std::size_t request_index, int sidecar);
    std::size_t open() const;  // number of attempts that wait for an answer within their time limit

    std::vector<RepeatedRequest> requests;
    Seconds time_limit = 1.5;  // s: the time limit in each statement
    int max_attempts = 8;      // of one request
    // Share of requests that are retried although they succeeded.
    double retry_share_after_success = 0.2;

  private:
    void schedule_next_request();
    void schedule_retry(std::size_t request_index, Seconds after);
    double draw(double from, double to);
    std::size_t draw_index(std::size_t count);
    net::EventLoop& loop_;
    const std::vector<net::Address> sidecars_;
    const std::vector<std::string> request_classes_;
    std::ranlux24_base random_;
    const std::string name_;
    std::map<int, std::vector<std::unique_ptr<ClientConnection>>> connections_;
    std::vector<bool> retried_by_client_;
    double rate_ = 0;
    bool stopped_ = false;
    net::Timers::Id next_timer_ = net::Timers::kNone;
    // False once this object is destroyed; timers that are still pending do nothing then.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace tideline::fakes
