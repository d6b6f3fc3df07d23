#include "planner/planner_directory.hpp"

namespace tideline::planner {
namespace {

// Longer than the interval at which a member in the queue repeats its request.
constexpr Seconds kRouteTimeout = 60;
// Planners announce themselves once a second.
constexpr Seconds kAnnouncementTimeout = 5;

template <class Map, class MapKey>
auto find_in(Map& map, const MapKey& key) -> decltype(&map.begin()->second) {
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

}  // namespace

void PlannerDirectory::record_planner(raft::ServerId server, const cluster::Name& name,
                                      const std::string& address) {
    planners_[server] = {name, address};
}

const PlannerAddress* PlannerDirectory::find_planner(raft::ServerId server) const {
    return find_in(planners_, server);
}

void PlannerDirectory::record_announcement(Seconds now, const cluster::Name& name,
                                           raft::ServerId server, const std::string& address) {
    joining_[name] = {server, address, now};
}

const JoiningPlanner* PlannerDirectory::find_joining_planner(const cluster::Name& name) const {
    return find_in(joining_, name);
}

void PlannerDirectory::record_member(Seconds now, const lease::Member& member,
                                     const cluster::LinkId& link,
                                     const cluster::Name& forwarded_by) {
    member_routes_[member] = {link, forwarded_by, now};
}

const MemberRoute* PlannerDirectory::route_to(const lease::Member& member) const {
    return find_in(member_routes_, member);
}

void PlannerDirectory::remove_expired(Seconds now) {
    std::erase_if(member_routes_,
                  [&](const auto& each) { return now > each.second.heard_at + kRouteTimeout; });
    std::erase_if(joining_, [&](const auto& each) {
        return now > each.second.heard_at + kAnnouncementTimeout;
    });
}

}  // namespace tideline::planner
