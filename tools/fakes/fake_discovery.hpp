// A fake of the discovery service: a list of endpoints with revisions, and a stream of its changes.
// Each sidecar has a listener of its own, which can be muted.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/http_peer.hpp"

namespace tideline::fakes {

// Used only on the thread of the event loop, which must outlive it.
class FakeDiscovery {
  public:
    explicit FakeDiscovery(net::EventLoop& loop);
    ~FakeDiscovery();
    // Adds a listener and returns its number, or -1 if the address can't be bound.
    int add_listener(const net::Address& address);
    // A muted listener still sends keep-alives, but no changes, and answers with the list as it was
    // when it was muted.
    void mute(int listener, bool muted);
    // Makes the listener add `added_revision` to each revision that it streams, so that sidecars
    // see revisions that the list never had.
    void add_to_revision(int listener, std::int64_t added_revision);
    // Adds or changes an endpoint, and sends the change at once.
    void put(const nlohmann::json& member);
    void remove(const std::string& id);
    nlohmann::json snapshot() const;
    std::int64_t revision() const {
        return revision_;
    }

  private:
    struct Listener;
    void notify(const nlohmann::json& member);
    void send_keep_alive();
    net::EventLoop& loop_;
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::map<std::string, nlohmann::json> members_;
    // All changes so far, each with its revision.
    std::vector<std::pair<std::int64_t, nlohmann::json>> changes_;
    std::int64_t revision_ = 1;
    net::Timers::Id keep_alive_timer_ = net::Timers::kNone;
};

}  // namespace tideline::fakes
