// A fake of the release platform: stages that advance by counted votes, and a stream of the release
// status. Each sidecar has a listener of its own, which can be muted.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/http_peer.hpp"
#include "policy/types.hpp"

namespace tideline::fakes {

// A vote as a sidecar sent it, even if it was stale.
struct ReceivedVote {
    Seconds at = 0;
    int listener = 0;
    int build = 0;
    int stage = 0;
    std::string vote;
};

// Used only on the thread of the event loop, which must outlive it.
class FakeReleasePlatform {
  public:
    explicit FakeReleasePlatform(net::EventLoop& loop);
    ~FakeReleasePlatform();
    // Adds a listener and returns its number, or -1 if the address can't be bound.
    int add_listener(const net::Address& address);
    // A muted listener streams the status as it was when it was muted and answers votes with HTTP
    // status 409.
    void mute(int listener, bool muted);
    void offer(int build);  // starts the trial of a new build
    // Sets stage, status and exposure cap of the build, and notifies all sidecars.
    void move(int stage, const std::string& status, double cap);
    // The release status as it is sent to sidecars.
    nlohmann::json state() const;

    // The exposure cap of each stage; after the last stage the build is released.
    std::vector<double> caps{0.1, 0.4, 1};
    Seconds min_stage_time = 1;  // s: how long a stage lasts at least
    // Numbers of sidecars whose votes advance or revert a stage.
    int votes_to_advance = 2;
    int votes_to_revert = 1;
    bool advances_by_votes = true;  // otherwise only move() changes the stage
    std::vector<ReceivedVote> votes;

  private:
    struct Listener;
    void record_vote(int listener, const nlohmann::json& ballot);
    void evaluate_votes();
    void notify();
    void send_keep_alive();
    net::EventLoop& loop_;
    std::vector<std::unique_ptr<Listener>> listeners_;
    int build_ = 41;
    int stage_ = 0;
    std::string status_ = "stable";
    double cap_ = 1;
    Seconds stage_since_ = 0;
    std::map<int, std::string> votes_of_stage_;  // by listener
    net::Timers::Id keep_alive_timer_ = net::Timers::kNone;
};

}  // namespace tideline::fakes
