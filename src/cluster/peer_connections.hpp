// Connections between members, which carry one message per frame in both directions. A connection
// is assigned to the member that its messages name as their sender, if it comes from that member's
// host. Used on the thread of the event loop; nothing here throws.
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
    // Must outlive the connections. Its methods may close any connection.
    class Owner {
      public:
        virtual ~Owner() = default;
        virtual void on_message(LinkId link, const wire::Word& message) = 0;
        // A connection to the member failed or broke.
        virtual void on_unreachable(const Name& name) = 0;
        virtual void log_message(const std::string& what) = 0;
    };
    struct Bounds {
        std::size_t max_connections = 64;           // concurrent connections
        std::size_t max_frame_bytes = 1024 * 1024;  // longest frame that is accepted
    };
    PeerConnections(net::EventLoop& loop, Owner& owner, const Bounds& bounds,
                    std::uint32_t own_host);
    PeerConnections(const PeerConnections&) = delete;
    PeerConnections& operator=(const PeerConnections&) = delete;
    ~PeerConnections();

    bool listen(const net::Address& address);
    // Sends over the connection to that member, or over a new one to the address. Delivery is not
    // confirmed: a message is lost if its connection breaks.
    void send(const Name& to, const std::string& address, const wire::Word& message);
    // Sends over a new connection.
    void send(const std::string& address, const wire::Word& message);
    void reply(LinkId link, const wire::Word& message);
    bool is_open(LinkId link) {
        return find(link) != nullptr;
    }
    // Assigns the connection to that member. Returns false if it comes from another host than the
    // member's address.
    bool assign_member(LinkId link, const Name& name, const std::string& address);
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
    class PeerConnection;
    PeerConnection* find(LinkId link);
    LinkId open_link(const std::string& address);
    void make_room();
    void close_link(LinkId link, bool failed);
    void send_frame(PeerConnection& link, const wire::Word& message);
    void maintain();

    net::EventLoop& loop_;
    Owner& owner_;
    Bounds bounds_;
    const std::uint32_t own_host_;
    net::Listener listener_;
    net::Slots<std::unique_ptr<PeerConnection>> links_;
    std::map<Name, LinkId> links_by_member_;
    net::Timers::Id maintain_timer_ = net::Timers::kNone;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t frames_sent_ = 0;
};

}  // namespace tideline::cluster
