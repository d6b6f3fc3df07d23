// One planner of the simulated world: the production planner core, its disk and its open requests.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "planner_world/world.hpp"

namespace tideline::simulation {

// The name of the planner with this index, which counts from 0.
std::string planner_name(int index);

// A planner, which is the host of a planner core. It passes the messages of the core to the world
// and holds back the core's writes until store_pending_writes() is called.
class PlannerWorld::PlannerNode : public planner::RaftMessageCodec {
  public:
    // The origin of a request that the core has not answered yet.
    struct OpenRequest {
        int node = 0;              // index of the member that sent it
        std::uint64_t number = 0;  // the number that the member gave it
    };

    PlannerNode(PlannerWorld& world, int node_index);
    PlannerNode(const PlannerNode& other, PlannerWorld& copied_world);

    // RaftMessageCodec and PlannerCoreHost
    ServerId self() const override;
    void send_planning(ServerId to, const wire::Planning& message) override;
    void persist(raft::PersistId id, const raft::PersistRequest& request) override;
    void log_event(const std::string&) override {}
    void reply(LeaseRequestId id, lease::Answer answer, FencingToken token, Seconds span,
               std::size_t before) override;
    void on_command_committed(LeaseRequestId id, bool changed) override;
    void notify_turn(const lease::Member& member, const LeaseName& lease,
                     FencingToken token) override;

    // Starts the core from the state on the disk.
    void start();
    // Discards the core and every write that is not on the disk yet.
    void crash();
    // Handles a message that reached this planner, whose core must be running. Returns false if the
    // message was forwarded to the leader without involving the core.
    bool handle_message(double local_now, int from, wire::Word& message);
    // Applies the pending writes to the disk, with the same result as the storage of the Raft log.
    void store_pending_writes();
    // Ends the batch of commands if the core has one open.
    void end_batch_if_due(double local_now) const;
    // Returns the state that later events depend on, as text.
    std::string state() const;

    const int index;
    std::uint64_t disk = 1;  // the number of the disk; it increases with each wipe
    raft::PersistentState persistent_state;
    std::vector<raft::PersistRequest> pending_writes;
    raft::PersistId last_persist_id;
    std::map<LeaseRequestId, OpenRequest> open_requests;
    std::uint64_t last_request_id = 0;
    std::uint64_t start_count = 0;
    std::unique_ptr<planner::PlannerCore> planner_core;  // null while the planner is down

  private:
    void send_answer(LeaseRequestId id, wire::LeaseAnswer& answer);
    bool handle_lease_request(double local_now, int from, wire::Word& message);
    void apply_snapshot(const raft::PersistRequest& write);

    PlannerWorld* world_;
};

}  // namespace tideline::simulation
