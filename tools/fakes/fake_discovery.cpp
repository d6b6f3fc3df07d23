#include "fakes/fake_discovery.hpp"

namespace tideline::fakes {

using nlohmann::json;

struct FakeDiscovery::Listener {
    using Peer = HttpPeer<Listener>;
    Listener(net::EventLoop& loop, FakeDiscovery& owner) : discovery(owner), server(loop, *this) {}
    void on_request(Peer& peer, const std::string&, const std::string& path, const std::string&) {
        const auto since = path.find("since=");
        if (since == std::string::npos) {
            return peer.answer(200, (muted ? frozen : discovery.snapshot()).dump());
        }
        peer.stream();
        const std::int64_t from = std::stoll(path.substr(since + 6));
        json changes = json::array();
        if (!muted) {
            for (const auto& [revision, member] : discovery.changes_) {
                if (revision > from) {
                    changes.push_back(member);
                }
            }
        }
        if (changes.empty()) {
            return peer.send_line("");
        }
        peer.send_line(json{
            {"revision", discovery.revision_ + added_revision},
            {"complete", false},
            {"members",
             changes}}.dump());
    }
    void on_peer_closed(int peer_number) {
        server.drop(peer_number);
    }
    FakeDiscovery& discovery;
    Server<Peer, Listener> server;
    bool muted = false;
    std::int64_t added_revision = 0;
    json frozen;
};

FakeDiscovery::FakeDiscovery(net::EventLoop& loop) : loop_(loop) {
    send_keep_alive();
}
FakeDiscovery::~FakeDiscovery() {
    loop_.timers.cancel(keep_alive_timer_);
}

int FakeDiscovery::add_listener(const net::Address& address) {
    listeners_.push_back(std::make_unique<Listener>(loop_, *this));
    return listeners_.back()->server.listen(address) ? static_cast<int>(listeners_.size()) - 1 : -1;
}

void FakeDiscovery::mute(int listener, bool muted) {
    Listener& at = *listeners_[static_cast<std::size_t>(listener)];
    if (at.muted == muted) {
        return;
    }
    at.muted = muted;
    at.frozen = snapshot();
    // The connections are closed, so that the sidecars connect again and receive the changes that
    // were held back.
    if (!muted) {
        at.server.for_each_connection([&](auto& peer) { at.server.drop(peer.number); });
    }
}

void FakeDiscovery::add_to_revision(int listener, std::int64_t added_revision) {
    listeners_[static_cast<std::size_t>(listener)]->added_revision = added_revision;
}

json FakeDiscovery::snapshot() const {
    json members = json::array();
    for (const auto& [id, member] : members_) {
        members.push_back(member);
    }
    return {{"revision", revision_}, {"complete", true}, {"members", members}};
}

void FakeDiscovery::put(const json& member) {
    members_[member.at("id").get<std::string>()] = member;
    notify(member);
}
void FakeDiscovery::remove(const std::string& id) {
    json member = members_.at(id);
    members_.erase(id);
    member["phase"] = "Gone";
    notify(member);
}

void FakeDiscovery::notify(const json& member) {
    changes_.emplace_back(++revision_, member);
    for (auto& listener : listeners_) {
        if (listener->muted) {
            continue;
        }
        const json change = {{"revision", revision_ + listener->added_revision},
                             {"complete", false},
                             {"members", json::array({member})}};
        listener->server.for_each_connection([line = change.dump()](auto& peer) {
            if (peer.streams) {
                peer.send_line(line);
            }
        });
    }
}

void FakeDiscovery::send_keep_alive() {
    for (auto& listener : listeners_) {
        listener->server.for_each_connection([](auto& peer) {
            if (peer.streams) {
                peer.send_line("");
            }
        });
    }
    keep_alive_timer_ = loop_.timers.at(net::clock_now() + 2, [this] { send_keep_alive(); });
}

}  // namespace tideline::fakes
