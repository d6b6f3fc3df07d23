// Receives the messages of other members and of query clients, and dispatches each to the component
// that handles it.
#pragma once

#include "audit/sealed_heads.hpp"
#include "audit/version_audit.hpp"
#include "cluster/audit_queries.hpp"
#include "cluster/leased_tasks.hpp"
#include "cluster/member_messenger.hpp"
#include "cluster/membership.hpp"
#include "cluster/peer_connections.hpp"
#include "cluster/replication_agent.hpp"
#include "cluster/state_transfer.hpp"
#include "net/log.hpp"

namespace tideline::cluster {

// Holds references: the constructor's arguments must outlive it. Used on the thread of the event
// loop.
class MessageReceiver {
  public:
    MessageReceiver(net::Log& log, PeerConnections& connections, Membership& membership,
                    audit::VersionAudit& version_audit, audit::SealedHeads& heads,
                    StateTransfer& transfers, AuditQueries& queries, MemberMessenger& messenger)
        : log_(log),
          connections_(connections),
          membership_(membership),
          version_audit_(version_audit),
          heads_(heads),
          transfers_(transfers),
          queries_(queries),
          messenger_(messenger) {}

    // nullptr, the default, disables the component: its messages are ignored.
    void set_leased_tasks(LeasedTasks* leased_tasks) {
        leased_tasks_ = leased_tasks;
    }
    void set_replication(ReplicationAgent* replication) {
        replication_ = replication;
    }
    // Returns whether the message came from a member, in which case the next deadline of the
    // membership may have changed. A message whose claimed sender does not match its connection is
    // logged and dropped.
    bool receive(LinkId link, const wire::Word& message);

  private:
    void answer_replication_query(LinkId link, const wire::AskHoldings& query);
    void dispatch_to_membership(Seconds now, const Entry& from, const wire::Word& message);
    void handle_sender(Seconds now, const Entry& from, const wire::From& sender);
    void dispatch_audit_message(Seconds now, const Entry& from, const wire::Word& message);
    void dispatch_task_message(const Entry& from, const wire::Word& message);
    void handle_confirmation_request(const Name& by, const wire::AskVouch& request);
    void handle_transfer(const Name& by, const wire::HandOver& transfer);

    net::Log& log_;
    PeerConnections& connections_;
    Membership& membership_;
    audit::VersionAudit& version_audit_;
    audit::SealedHeads& heads_;
    StateTransfer& transfers_;
    AuditQueries& queries_;
    MemberMessenger& messenger_;
    LeasedTasks* leased_tasks_ = nullptr;
    ReplicationAgent* replication_ = nullptr;
};

}  // namespace tideline::cluster
