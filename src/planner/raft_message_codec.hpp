// Converts Raft messages to their protobuf form on the wire, and back.
#pragma once

#include "planner/planner_core.hpp"

namespace tideline::planner {

// Encodes the messages that Raft sends. The derived class sends them.
class RaftMessageCodec : public PlannerCoreHost {
  public:
    void send(raft::ServerId to, const raft::RequestVote& message) override;
    void send(raft::ServerId to, const raft::RequestVoteReply& message) override;
    void send(raft::ServerId to, const raft::AppendEntries& message) override;
    void send(raft::ServerId to, const raft::InstallSnapshot& message) override;
    void send(raft::ServerId to, const raft::AppendEntriesReply& message) override;

  protected:
    virtual raft::ServerId self() const = 0;
    virtual void send_planning(raft::ServerId to, const wire::Planning& message) = 0;

  private:
    wire::Planning header_for(raft::ServerId to, raft::Term term) const;
};

// Decodes a message of another planner and passes it to Raft. Ignores it if it holds no Raft
// message.
void handle_raft_message(PlannerCore& planner_core, Seconds now, const wire::Planning& message);

}  // namespace tideline::planner
