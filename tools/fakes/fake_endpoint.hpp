// A fake endpoint, which speaks the PostgreSQL protocol, answers after a random time and records
// the requests that it receives.
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/server.hpp"
#include "policy/types.hpp"

namespace tideline::fakes {

// The effects of requests over all endpoints: for each idempotency key, the times at which an
// attempt took effect because it was not recognised as a repeat.
struct Effects {
    std::map<std::string, std::vector<Seconds>> by_key;
    // Request classes whose repeats endpoints recognise by the key.
    std::set<std::string> repeatable;
    Seconds window = 10;  // s: how long after an effect a repeat is recognised
    void record(const std::string& request_class, const std::string& key, Seconds now);
};
// An attempt that has arrived completely.
struct ReceivedRequest {
    Seconds at = 0;
    std::string request_id;  // the id in the statement
    std::string request_class;
    std::string tenant;  // tests put the name of the sidecar here
    std::string key;     // idempotency key; empty: none
};

// Used only on the thread of the event loop, which must outlive it.
class FakeEndpoint {
  public:
    FakeEndpoint(net::EventLoop& loop, std::uint32_t seed);
    ~FakeEndpoint();
    bool listen(const net::Address& address);
    void close();  // stops listening and closes all connections, as if the process had died

    int build = 0;
    // s: an answer takes a random time between these
    Seconds min_latency = 0.004;
    Seconds max_latency = 0.012;
    double failure_share = 0;  // share of attempts that end in an error
    std::vector<ReceivedRequest> received;
    Effects* effects = nullptr;  // records the effects of requests with a key; not owned

  private:
    class Connection;
    friend class Server<Connection, FakeEndpoint>;
    double draw() {
        return static_cast<double>(random_()) / static_cast<double>(random_.max());
    }
    std::unique_ptr<Server<Connection, FakeEndpoint>> server_;
    std::ranlux24_base random_;
};

}  // namespace tideline::fakes
