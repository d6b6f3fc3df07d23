#include "fakes/fake_release_platform.hpp"

#include <algorithm>

namespace tideline::fakes {

using nlohmann::json;

struct FakeReleasePlatform::Listener {
    using Peer = HttpPeer<Listener>;
    Listener(net::EventLoop& loop, FakeReleasePlatform& owner, int its_number)
        : platform(owner), server(loop, *this), number(its_number) {}
    void on_request(Peer& peer, const std::string& method, const std::string&,
                    const std::string& body) {
        if (method != "POST") {
            peer.stream();
            return peer.send_line(
                json{{"type", "ROLLOUT"}, {"object", muted ? frozen : platform.state()}}.dump());
        }
        const json ballot = json::parse(body, nullptr, false);
        if (ballot.is_discarded()) {
            return peer.answer(400, R"({"error":"SYNTAX"})");
        }
        platform.votes.push_back({net::clock_now(), number, ballot.value("version", 0),
                                  ballot.value("step", 0), ballot.value("vote", "")});
        if (muted || ballot.value("version", 0) != platform.build_ ||
            ballot.value("step", 0) != platform.stage_) {
            return peer.answer(409, R"({"error":"STALE"})");
        }
        platform.record_vote(number, ballot);
        peer.answer(200, platform.state().dump());
    }
    void on_peer_closed(int peer_number) {
        server.drop(peer_number);
    }
    FakeReleasePlatform& platform;
    Server<Peer, Listener> server;
    const int number;
    bool muted = false;
    json frozen;
};

FakeReleasePlatform::FakeReleasePlatform(net::EventLoop& loop)
    : loop_(loop), stage_since_(net::clock_now()) {
    send_keep_alive();
}
FakeReleasePlatform::~FakeReleasePlatform() {
    loop_.timers.cancel(keep_alive_timer_);
}

int FakeReleasePlatform::add_listener(const net::Address& address) {
    const int number = static_cast<int>(listeners_.size());
    listeners_.push_back(std::make_unique<Listener>(loop_, *this, number));
    return listeners_.back()->server.listen(address) ? number : -1;
}
void FakeReleasePlatform::mute(int listener, bool muted) {
    Listener& at = *listeners_[static_cast<std::size_t>(listener)];
    if (at.muted == muted) {
        return;
    }
    at.muted = muted;
    at.frozen = state();
    if (!muted) {
        at.server.for_each_connection([&](auto& peer) { at.server.drop(peer.number); });
    }
}

json FakeReleasePlatform::state() const {
    return {{"version", build_},
            {"step", stage_},
            {"status", status_},
            {"maxWeight", cap_},
            {"observedAgoMs", static_cast<std::int64_t>((net::clock_now() - stage_since_) * 1e3)}};
}
void FakeReleasePlatform::offer(int build) {
    build_ = build;
    move(0, "canary", caps.front());
}
void FakeReleasePlatform::move(int stage, const std::string& status, double cap) {
    stage_ = stage;
    status_ = status;
    cap_ = cap;
    stage_since_ = net::clock_now();
    votes_of_stage_.clear();
    notify();
}
void FakeReleasePlatform::record_vote(int listener, const json& ballot) {
    votes_of_stage_[listener] = ballot.value("vote", "");
    evaluate_votes();
}
void FakeReleasePlatform::evaluate_votes() {
    if (!advances_by_votes || (status_ != "canary" && status_ != "stable")) {
        return;
    }
    const auto count = [&](const char* value) {
        return std::count_if(votes_of_stage_.begin(), votes_of_stage_.end(),
                             [&](auto& e) { return e.second == value; });
    };
    if (count("reject") >= votes_to_revert) {
        return move(stage_, "reverting", 0);
    }
    if (status_ != "canary" || count("approve") < votes_to_advance ||
        net::clock_now() < stage_since_ + min_stage_time) {
        return;
    }
    if (stage_ + 1 < static_cast<int>(caps.size())) {
        move(stage_ + 1, "canary", caps[static_cast<std::size_t>(stage_) + 1]);
    } else {
        move(stage_, "stable", 1);
    }
}
void FakeReleasePlatform::notify() {
    for (auto& listener : listeners_) {
        if (!listener->muted) {
            listener->server.for_each_connection([&](auto& peer) {
                if (peer.streams) {
                    peer.send_line(json{{"type", "ROLLOUT"}, {"object", state()}}.dump());
                }
            });
        }
    }
}
void FakeReleasePlatform::send_keep_alive() {
    evaluate_votes();
    for (auto& listener : listeners_) {
        listener->server.for_each_connection([](auto& peer) {
            if (peer.streams) {
                peer.send_line("{}");
            }
        });
    }
    keep_alive_timer_ = loop_.timers.at(net::clock_now() + 0.5, [this] { send_keep_alive(); });
}

}  // namespace tideline::fakes
