// The part of a planner that needs no sockets, disk or clock: the Raft log, the replicated state of
// leases and voters, and the lease manager. The planner process, the simulation and the model
// checker all use this class.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_manager.hpp"
#include "planner/storage_codec.hpp"
#include "raft/raft.hpp"
#include "raft/voter_membership.hpp"

namespace tideline::planner {

// The services that a planner core needs from its process. No method may call back into the planner
// core.
class PlannerCoreHost : public raft::RaftTransport {
  public:
    // Answers the request of a member or an operator.
    virtual void reply(lease::LeaseRequestId id, lease::Answer result, lease::FencingToken token,
                       Seconds span, std::size_t before) = 0;
    // The command of a request is committed and applied. `changed` tells whether it changed the
    // state.
    virtual void on_command_committed(lease::LeaseRequestId id, bool changed) = 0;
    // Notifies a waiter that the lease was granted to it.
    virtual void notify_turn(const lease::Member& member, const lease::LeaseName& lease,
                             lease::FencingToken token) = 0;
    // An entry that this planner applied may have changed the holder or the document of the lease.
    virtual void holder_changed(const lease::LeaseName&) {}
};

// Settings from the operator's file.
struct PlannerCoreSettings {
    raft::RaftSettings raft;
    lease::LeaseManagerSettings leases;
    // A snapshot replaces the applied entries once there are more of them than this.
    std::size_t snapshot_after_entries = 1000;
};

class PlannerCore : raft::RaftStateMachine, lease::LeaseManagerHost {
  public:
    PlannerCore(PlannerCoreHost& host, const PlannerCoreSettings& settings, raft::ServerId self,
                raft::PersistentState state, std::uint64_t seed, Seconds now);
    // Copies `other`, but uses another host; for simulation and model checking.
    PlannerCore(const PlannerCore& other, PlannerCoreHost& host);
    // Returns the persistent state with which the first planner of a new cluster starts.
    static raft::PersistentState initial_state(raft::ServerId self, const raft::Name& name,
                                               const std::string& address);

    // Passes an event to Raft: a message from another planner, or the completion of a write. `call`
    // is called with the Raft object.
    template <class Call>
    void with_raft(Seconds now, Call call) {
        call(raft_);
        after_event(now);
    }
    void tick(Seconds now);
    // Returns the time at which tick has to be called next; infinity if it need not be called.
    Seconds due() const {
        return std::min(raft_.due(), lease_manager_.due());
    }
    // Starts one round of heartbeats for all requests of an iteration of the event loop that need
    // one. Call this at the end of the iteration if wants_round() returns true.
    void end_batch(Seconds now);
    bool wants_round() const {
        return wants_round_;
    }

    // Requests of members and operators. Each is answered through PlannerCoreHost, now or later.
    void acquire(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease,
                 const lease::Member& member);
    void renew(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease,
               const lease::Member& member, lease::FencingToken token);
    void release(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease,
                 const lease::Member& member, lease::FencingToken token);
    void stop_waiting(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease,
                      const lease::Member& member);
    // Raises or clears an alarm on behalf of the holder of the lease under `token`.
    void set_alarm(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease,
                   lease::FencingToken token, bool raised, const std::string& key,
                   const std::string& text);
    // Replaces the document number `number` - 1 of the lease with this one, on behalf of the holder
    // under `token`.
    void write_document(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease,
                        lease::FencingToken token, std::uint64_t number, const std::string& bytes);
    void revoke(Seconds now, lease::LeaseRequestId id, const lease::LeaseName& lease);
    void admit(Seconds now, lease::LeaseRequestId id, raft::ServerId server, const raft::Name& name,
               const std::string& address);
    void remove(Seconds now, lease::LeaseRequestId id, const raft::Name& name);

    // Whether this planner is the leader and may answer requests.
    bool is_serving() const {
        return lease_manager_.is_leader();
    }
    const raft::Raft& raft() const {
        return raft_;
    }
    const lease::LeaseStateMachine& leases() const {
        return leases_;
    }
    const raft::VoterMembership& voter_membership() const {
        return voter_membership_;
    }
    Seconds time_left(Seconds now, const lease::LeaseName& lease) const {
        return lease_manager_.time_left(now, lease);
    }
    // Sets the difference between Unix time and the clock of the calls. It is used only for the
    // displayed times in the replicated state.
    void set_unix_offset(double offset) {
        unix_offset_ = offset;
    }
    // A text of the whole state, for model checking: two objects with equal texts behave alike.
    std::string fingerprint(Seconds now) const;

  private:
    // raft::RaftStateMachine
    void apply(raft::LogIndex at, const LogEntry& entry) override;
    void restore(const Snapshot& snapshot) override;
    // lease::LeaseManagerHost
    void propose_acquire(const lease::LeaseName& lease, const lease::Member& member) override;
    void propose_end(const lease::LeaseName& lease, lease::FencingToken token,
                     lease::HoldingEnd reason, const std::vector<lease::Member>& absent) override;
    void propose_stop_waiting(const lease::LeaseName& lease, const lease::Member& member) override;
    lease::RoundId start_round() override;
    void reply(lease::LeaseRequestId id, lease::Answer result, lease::FencingToken token,
               Seconds span, std::size_t before) override {
        host_->reply(id, result, token, span, before);
    }
    void notify_turn(const lease::Member& member, const lease::LeaseName& lease,
                     lease::FencingToken token) override {
        host_->notify_turn(member, lease, token);
    }
    raft::LogIndex propose(wire::Command& command);
    void propose_for_request(Seconds now, lease::LeaseRequestId id, wire::Command& command);
    void answer_command_request(raft::LogIndex at, lease::ChangeResult change);
    void after_event(Seconds now);
    void advance_voters(Seconds now);

    PlannerCoreHost* host_;
    PlannerCoreSettings settings_;
    lease::LeaseStateMachine leases_;
    raft::VoterMembership voter_membership_;
    Seconds now_ = 0;  // the time of the present call
    double unix_offset_ = 0;
    lease::LeaseManager lease_manager_;
    raft::Raft raft_;
    raft::Term leader_term_;
    // Requests that are answered once their command is applied, keyed by the index of its entry.
    std::map<raft::LogIndex, lease::LeaseRequestId> pending_commands_;
    bool wants_round_ = false;
};

}  // namespace tideline::planner
