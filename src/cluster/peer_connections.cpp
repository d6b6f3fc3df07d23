#include "cluster/peer_connections.hpp"

#include <fmt/format.h>

#include "cluster/frame.hpp"
#include "cluster/message_codec.hpp"

namespace tideline::cluster {
namespace {

// A client sends a message as soon as it has connected.
constexpr Seconds kFirstMessageTimeout = 2;
// Keeping a connection unused for longer costs more than opening a new one.
constexpr Seconds kIdleTimeout = 30;
// A connection without an answer for longer than this is considered broken.
constexpr Seconds kAnswerTimeout = 5;
// Time to complete a frame that has begun; links with a delay of 3 s take less.
constexpr Seconds kFrameTimeout = 8;
constexpr Seconds kMaintenanceInterval = 1;  // between two checks of these time-outs

bool expects_answer(const wire::Word& message) {
    return message.has_ping() || message.has_ask_ping() || message.has_knock() ||
           message.has_want() || message.has_ask_vouch() || message.has_ask_record() ||
           message.has_lease_ask() || message.holding().has_ask() || message.holding().has_copy() ||
           message.holding().has_compare() || message.holding().has_ask_report() ||
           message.planning().has_tell() || message.planning().has_vote_ask() ||
           message.planning().has_knock();
}

}  // namespace

class PeerConnections::PeerConnection : public net::TcpConnection {
  public:
    PeerConnection(PeerConnections& all, bool outgoing)
        : net::TcpConnection(all.loop_, all.bounds_.max_frame_bytes + kFrameHeaderBytes),
          last_used(net::clock_now()),
          connections_(all),
          outgoing_(outgoing) {
        out_.set_max_bytes(2 * (all.bounds_.max_frame_bytes + kFrameHeaderBytes));
    }
    LinkId id;
    Name name;
    bool outgoing() const {
        return outgoing_;
    }
    Seconds last_used;           // when it was last written to or read from
    Seconds awaiting_since = 0;  // since when an answer is outstanding; 0: none is
    Seconds frame_begun_at = 0;  // when the incomplete frame began to arrive; 0: there is none
    bool received_message = false;

  protected:
    void on_received() override {
        const Seconds now = net::clock_now();
        last_used = now;
        awaiting_since = 0;
        // The owner may close this connection while it handles a message.
        for (std::string_view body; !closed();) {
            std::size_t frame_bytes = 0;
            std::string error;
            const FrameRead read = decode_frame(in_.all(), connections_.bounds_.max_frame_bytes,
                                                body, frame_bytes, error);
            wire::Word message;
            if (read == FrameRead::more) {
                frame_begun_at = in_.empty() ? 0 : frame_begun_at > 0 ? frame_begun_at : now;
                return;
            }
            if (read == FrameRead::whole && !decode_message(body, message)) {
                error = "a frame without a message";
            }
            if (!error.empty()) {
                const std::string peer = name.value.empty() ? "unknown" : name.value;
                connections_.owner_.log_message(
                    fmt::format("connection closed: peer={} received='{}'", peer, error));
                return connections_.close_link(id, true);
            }
            in_.drop(frame_bytes);
            frame_begun_at = 0;
            received_message = true;
            connections_.owner_.on_message(id, message);
        }
    }
    void on_closed() override {
        connections_.close_link(id, true);
    }

  private:
    PeerConnections& connections_;
    const bool outgoing_;
};

PeerConnections::PeerConnections(net::EventLoop& loop, Owner& owner, const Bounds& bounds,
                                 std::uint32_t own_host)
    : loop_(loop),
      owner_(owner),
      bounds_(bounds),
      own_host_(own_host),
      listener_(loop, [this](int fd) {
          make_room();
          auto link = std::make_unique<PeerConnection>(*this, false);
          PeerConnection& connection = *link;
          connection.id = LinkId{links_.add(std::move(link))};
          connection.adopt(fd);
      }) {
    maintain();
}
PeerConnections::~PeerConnections() {
    loop_.timers.cancel(maintain_timer_);
}

bool PeerConnections::listen(const net::Address& address) {
    return listener_.listen(address);
}

PeerConnections::PeerConnection* PeerConnections::find(LinkId link) {
    auto* found = links_.find(link.value);
    return found ? found->get() : nullptr;
}

// Clients that connect again and again would otherwise exhaust the sidecar's file descriptors. The
// least recently used connection is closed; connections that are not assigned to a member are
// closed first.
void PeerConnections::make_room() {
    while (links_.size() >= bounds_.max_connections) {
        PeerConnection* victim = nullptr;
        links_.each([&](std::uint64_t, auto& link) {
            const auto order = [](const PeerConnection& each) {
                return std::pair(!each.name.value.empty(), each.last_used);
            };
            if (!victim || order(*link) < order(*victim)) {
                victim = link.get();
            }
        });
        close_link(victim->id, false);
    }
}
LinkId PeerConnections::open_link(const std::string& address) {
    const auto to = net::address_of(address);
    if (!to) {
        return {};
    }
    make_room();
    auto link = std::make_unique<PeerConnection>(*this, true);
    PeerConnection& connection = *link;
    connection.id = LinkId{links_.add(std::move(link))};
    connection.open(*to, own_host_);
    return connection.id;
}
void PeerConnections::send_frame(PeerConnection& link, const wire::Word& message) {
    const std::string frame = encode_message(message);
    if (frame.size() > bounds_.max_frame_bytes + kFrameHeaderBytes) {
        return owner_.log_message(
            "message not sent: bytes=" + std::to_string(frame.size()) +
            " most=" + std::to_string(bounds_.max_frame_bytes + kFrameHeaderBytes));
    }
    const Seconds now = net::clock_now();
    link.last_used = now;
    if (link.awaiting_since == 0 && expects_answer(message)) {
        link.awaiting_since = now;
    }
    bytes_sent_ += frame.size();
    ++frames_sent_;
    link.put(frame);
}
void PeerConnections::send(const Name& to, const std::string& address, const wire::Word& message) {
    const auto it = links_by_member_.find(to);
    PeerConnection* link = it == links_by_member_.end() ? nullptr : find(it->second);
    // A broken link may go unnoticed by TCP: messages written to it would wait for ever.
    if (link && link->awaiting_since > 0 &&
        net::clock_now() > link->awaiting_since + kAnswerTimeout) {
        close_link(link->id, false);
        link = nullptr;
    }
    if (!link) {
        link = find(open_link(address));
        if (!link) {
            return;
        }
        link->name = to;
        links_by_member_[to] = link->id;
    }
    send_frame(*link, message);
}
void PeerConnections::send(const std::string& address, const wire::Word& message) {
    if (PeerConnection* link = find(open_link(address))) {
        send_frame(*link, message);
    }
}
void PeerConnections::reply(LinkId link, const wire::Word& message) {
    if (PeerConnection* connection = find(link)) {
        send_frame(*connection, message);
    }
}

// Without this check, a client that claims the name of another member would receive the messages
// for that member.
bool PeerConnections::assign_member(LinkId id, const Name& name, const std::string& address) {
    PeerConnection* link = find(id);
    const auto at = net::address_of(address);
    if (!link || !at || link->peer_host() != at->host) {
        return false;
    }
    if (link->name == name) {
        return true;
    }
    if (!link->name.value.empty()) {
        const auto it = links_by_member_.find(link->name);
        if (it != links_by_member_.end() && it->second == id) {
            links_by_member_.erase(it);
        }
    }
    link->name = name;
    PeerConnection* other =
        links_by_member_.contains(name) ? find(links_by_member_.at(name)) : nullptr;
    if (!other || other->awaiting_since > 0) {
        links_by_member_[name] = id;
    }
    return true;
}

void PeerConnections::close_link(LinkId id, bool failed) {
    auto* found = links_.find(id.value);
    if (!found) {
        return;
    }
    const Name name = (*found)->name;
    (*found)->close();
    loop_.destroy_after_pass(std::move(*found));
    links_.remove(id.value);
    const auto it = links_by_member_.find(name);
    if (it == links_by_member_.end() || it->second != id) {
        return;
    }
    links_by_member_.erase(it);
    if (failed) {
        owner_.on_unreachable(name);
    }
}

void PeerConnections::maintain() {
    const Seconds now = net::clock_now();
    std::vector<LinkId> expired;
    links_.each([&](std::uint64_t, auto& link) {
        const bool is_silent = !link->outgoing() && !link->received_message &&
                               now > link->last_used + kFirstMessageTimeout;
        const bool has_partial_frame =
            link->frame_begun_at > 0 && now > link->frame_begun_at + kFrameTimeout;
        if (is_silent || has_partial_frame || now > link->last_used + kIdleTimeout) {
            expired.push_back(link->id);
        }
    });
    for (const LinkId id : expired) {
        close_link(id, false);
    }
    maintain_timer_ = loop_.timers.at(now + kMaintenanceInterval, [this] { maintain(); });
}

}  // namespace tideline::cluster
