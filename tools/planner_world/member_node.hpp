// One member of the simulated world. It competes for the lease with the production lease client.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "planner_world/world.hpp"

namespace tideline::simulation {

// A member, which is the host of a lease client. The world passes the client's requests to a
// planner.
class PlannerWorld::MemberNode : public lease::LeaseClientHost {
  public:
    MemberNode(PlannerWorld& world, int node_index);
    MemberNode(const MemberNode& other, PlannerWorld& copied_world);

    // Starts the member under the next incarnation.
    void start();
    // Discards the lease client.
    void crash();
    // Acquires or releases the lease. A member that is down acquires a wanted lease when it starts.
    void set_wanted(bool is_wanted);
    // Sends a request to raise or clear the lease's alarm, and adds it to the history.
    void set_alarm(bool raised, FencingToken token);
    // Handles a message that reached this member. Returns whether the invariants have to be
    // checked.
    bool handle_message(double local_now, const wire::Word& message);
    // Returns the state that later events depend on, as text.
    std::string state() const;

    // LeaseClientHost
    void request_acquire(LeaseRequestId id, const LeaseName&) override;
    void request_renewal(LeaseRequestId id, const LeaseName&, FencingToken token) override;
    void request_release(LeaseRequestId id, const LeaseName&, FencingToken token) override;
    void request_stop_waiting(LeaseRequestId id, const LeaseName&) override;
    void switch_planner() override;
    void on_acquired(const LeaseName&, FencingToken token) override;
    void on_lost(const LeaseName&, FencingToken, lease::LossReason) override {}

    const int index;
    std::uint64_t incarnation = 0;
    bool up = true;
    bool wanted = false;
    std::optional<FencingToken> pending_act;  // the token of the act in progress
    std::unique_ptr<lease::LeaseClient> lease_client;

  private:
    void send_request(wire::LeaseAsk::What kind, LeaseRequestId id, FencingToken token);
    void handle_alarm_answer(const wire::LeaseAnswer& answer, RegisterObservation& observation);
    void handle_lease_answer(double local_now, const wire::LeaseAnswer& answer);

    PlannerWorld* world_;
    int current_planner_;                            // the planner that gets the requests; -1: any
    std::map<LeaseRequestId, double> requested_at_;  // true time of each request
    std::map<std::uint64_t, std::size_t> alarm_requests_;  // index in the history by request number
    // The number of the last alarm request. Alarm requests are numbered from a start that is above
    // every number of the lease client.
    std::uint64_t last_alarm_request_ = 1ULL << 32;
};

}  // namespace tideline::simulation
