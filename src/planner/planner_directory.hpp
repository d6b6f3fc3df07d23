// The addresses of other planners and the routes to members, learned from the messages they send.
#pragma once

#include <map>
#include <string>

#include "cluster/peer_connections.hpp"
#include "lease/types.hpp"
#include "raft/types.hpp"

namespace tideline::planner {

// The name and address that a planner states as the sender of its messages.
struct PlannerAddress {
    cluster::Name name;
    std::string address;
};

// A planner that announces itself and is not in the voter set.
struct JoiningPlanner {
    raft::ServerId server;
    std::string address;
    // The time of the last announcement.
    Seconds heard_at = 0;
};

// The connection on which the last request of a member arrived.
struct MemberRoute {
    cluster::LinkId link;
    // The planner that forwarded the request; empty if the member is connected to this planner.
    cluster::Name planner;
    Seconds heard_at = 0;
};

// Not thread-safe. This class does no I/O and reads no clock.
class PlannerDirectory {
  public:
    // Records the address of a planner of this cluster, from which a message arrived.
    void record_planner(raft::ServerId server, const cluster::Name& name,
                        const std::string& address);
    // Returns nullptr if no message of the planner arrived.
    const PlannerAddress* find_planner(raft::ServerId server) const;

    // Records the announcement of a planner that is not in the voter set.
    void record_announcement(Seconds now, const cluster::Name& name, raft::ServerId server,
                             const std::string& address);
    // Returns nullptr if the planner has not announced itself recently.
    const JoiningPlanner* find_joining_planner(const cluster::Name& name) const;
    // The planners that announced themselves recently.
    const std::map<cluster::Name, JoiningPlanner>& joining_planners() const {
        return joining_;
    }

    // Records the route of a member's request. `forwarded_by` is the planner that forwarded the
    // request; empty if the member sent it to this planner.
    void record_member(Seconds now, const lease::Member& member, const cluster::LinkId& link,
                       const cluster::Name& forwarded_by);
    // Returns nullptr if the member has sent no request recently.
    const MemberRoute* route_to(const lease::Member& member) const;

    // Removes members and joining planners whose last message is too old.
    void remove_expired(Seconds now);

  private:
    // The planners of this cluster. Their addresses may differ from those in the voter set.
    std::map<raft::ServerId, PlannerAddress> planners_;
    std::map<cluster::Name, JoiningPlanner> joining_;
    std::map<lease::Member, MemberRoute> member_routes_;
};

}  // namespace tideline::planner
