// Connections between members: frames with a message each, both ways, over the event loop. A
// connection belongs to the member that its messages name, if it comes from that member's host. One
// thread, the event loop's; nothing here throws.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cluster.pb.h"
#include "cluster/types.hpp"
#include "net/listener.hpp"
#include "net/slots.hpp"

namespace tideline::cluster {

using LinkId = Id<struct PeerConnectionTag, std::uint64_t>;

class PeerConnections {
  public:
    // Has to outlive the connections; its calls may close any connection.
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void on_message(LinkId link, const wire::Word& message) = 0;
        virtual void on_unreachable(const Name& name) = 0;  // a connection to it failed or broke
        virtual void log_message(const std::string& what) = 0;  // for the log
    };
    struct Bounds {
        std::size_t max_connections = 64;           // connections at once
        std::size_t max_frame_bytes = 1024 * 1024;  // bytes
    };
    PeerConnections(net::EventLoop& loop, Owner& owner, const Bounds& bounds,
                    std::uint32_t own_host);
    PeerConnections(const PeerConnections&) = delete;
    PeerConnections& operator=(const PeerConnections&) = delete;
    ~PeerConnections();

    bool listen(const net::Address& address);
    // Over the connection to that member, or a new one to the address. Not confirmed: a message is
    // lost with its connection.
    void send(const Name& to, const std::string& address, const wire::Word& message);
    void send(const std::string& address, const wire::Word& message);  // over a new connection
    void reply(LinkId link, const wire::Word& message);
    bool open(LinkId link) {
        return find(link) != nullptr;
    }
    // Assigns the connection to that member. False where it comes from another host than the
    // member's address.
    bool assign(LinkId link, const Name& name, const std::string& address);
    void set_bounds(const Bounds& bounds) {
        bounds_ = bounds;
    }
    std::size_t links() const {
        return links_.size();
    }
    std::uint64_t bytes_sent() const {
        return bytes_sent_;
    }
    std::uint64_t frames_sent() const {
        return frames_sent_;
    }

  private:
    class Link;
    Link* find(LinkId link);
    LinkId open_link(const std::string& address);
    void make_room();
    void close_link(LinkId link, bool failed);
    void send_frame(Link& link, const wire::Word& message);
    void maintain();

    net::EventLoop& loop_;
    Owner& owner_;
    Bounds bounds_;
    const std::uint32_t own_host_;
    net::Listener listener_;
    net::Slots<std::unique_ptr<Link>> links_;
    std::map<Name, LinkId> by_name_;
    net::Timers::Id maintain_timer_ = net::Timers::kNone;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t frames_sent_ = 0;
};

}  // namespace tideline::cluster
