// A cluster in virtual time: the production state machines (membership and version audit), a seeded
// network between them, and an endpoint list whose revisions reach each member after a delay. The
// simulation uses no sockets and no real clock; the same seed gives the same run. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "audit/version_audit.hpp"
#include "cluster/membership.hpp"

namespace tideline::simulation {

using namespace cluster;

// The size of a cluster, the faults that are present from the start, and the seed.
struct ClusterSimulationSettings {
    int members = 10;
    MembershipSettings membership;
    audit::VersionAuditSettings version_audit;
    double loss = 0;  // share of messages that are lost
    // Share of members that are slow: awake for 0.3 s, then asleep for 0.5 to 3 s, repeatedly.
    double slow_share = 0;
    // The range of the transit time of a message, in seconds.
    Seconds min_transit = 0.0005;
    Seconds max_transit = 0.002;
    bool all_members_known = true;  // all members know each other at the start
    std::uint32_t seed = 1;
};

// The members of a cluster, with the indices from 0, and the events between them.
class SimulatedCluster {
  public:
    explicit SimulatedCluster(const ClusterSimulationSettings& settings);
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;
    ~SimulatedCluster();

    // Executes all events up to this time.
    void run(Seconds until);
    Seconds now() const {
        return now_;
    }

    // Faults and changes.

    // Crashes a member. It stays down until start() is called.
    void kill(int member);
    // Starts a member that is down, with its next incarnation.
    void start(int member);
    // Pauses or resumes a member. Messages that reach it while it is paused are handled when it
    // resumes.
    void set_paused(int member, bool paused);
    // Sets whether all messages from one member to the other are lost.
    void set_cut(int from, int to, bool is_cut);
    // Sets the delay that is added to the transit time of each message from or to the member.
    void set_delay(int member, Seconds by) {
        delays_[static_cast<std::size_t>(member)] = by;
    }
    // Sets whether a member is muted. A muted member receives no new revision of the endpoint list
    // from outside the cluster.
    void set_muted(int member, bool muted);
    // Publishes a new revision of the list, which reaches each member that is not muted after 1 to
    // 50 ms.
    void publish_revision();
    // Makes a member claim revisions that do not exist and exclude all others.
    void make_byzantine(int member);

    // State.

    bool is_alive(int member) const;
    bool is_slow(int member) const;
    const Membership& membership(int member) const;
    const audit::VersionAudit& version_audit(int member) const;
    // Returns the state of the member `of` in the view of the member `by`; MemberState::left if
    // unknown.
    MemberState state_of(int by, int of) const;
    // The newest revision of the endpoint list.
    std::uint64_t revision() const {
        return revision_;
    }
    // The revision that the member acts on.
    std::uint64_t list_revision_of(int member) const;
    bool is_byzantine(int member) const {
        return byzantine_ == member;
    }
    int members() const {
        return settings_.members;
    }
    static Name name_of(int member);

    // Totals since the last reset_figures.
    struct Figures {
        std::uint64_t messages = 0;
        double bytes = 0;
        // State changes in the views of members, about others that are up and not slow.
        std::uint64_t suspected = 0;
        std::uint64_t taken_for_gone = 0;
    };
    const Figures& figures() const {
        return figures_;
    }
    void reset_figures() {
        figures_ = {};
    }
    // Called after each step, with the member that acted.
    std::function<void(int)> after_step;

  private:
    class Node;
    struct ScheduledEvent {
        Seconds due;
        std::uint64_t order;
        std::function<void()> call;
        bool operator>(const ScheduledEvent& other) const {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };

    void schedule(Seconds when, std::function<void()> call);
    // Executes the call at that member once it is awake. Drops the call if the incarnation has
    // changed by then.
    void run_when_awake(int to, Seconds when, std::function<void(Node&)> call);
    void send(int from, int to, std::size_t entries, std::function<void(Node&)> call);
    // Returns the first time from `when` on at which the member is awake.
    Seconds next_awake_time(int member, Seconds when);
    double draw(double from, double to);

    ClusterSimulationSettings settings_;
    std::ranlux24_base random_;
    Seconds now_ = 1000;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> scheduled_;
    std::uint64_t order_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::uint64_t> incarnations_;
    std::vector<Seconds> delays_;
    std::vector<bool> muted_;
    // Of each slow member: when it wakes and when it falls asleep; -1 and -1 of the others.
    std::vector<std::pair<Seconds, Seconds>> sleeps_;
    std::set<std::pair<int, int>> cuts_;
    std::uint64_t revision_ = 5;
    int byzantine_ = -1;  // index of the Byzantine member; -1: none
    Figures figures_;
};

}  // namespace tideline::simulation
