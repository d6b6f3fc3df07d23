// Sends this member's messages. Each message to a member carries the sender's own entry, the
// versions that it acts on and the newest seal of its audit log.
#pragma once

#include <string>

#include "audit/audit_log.hpp"
#include "audit/version_audit.hpp"
#include "cluster.pb.h"
#include "cluster/active_state.hpp"
#include "cluster/membership.hpp"
#include "cluster/peer_connections.hpp"

namespace tideline::cluster {

// Holds references only: the constructor's arguments must outlive it. Used on the thread of the
// event loop. A message to an unknown member, or to this member itself, is dropped. Delivery is
// neither confirmed nor retried.
class MemberMessenger {
  public:
    MemberMessenger(const Membership& membership, const ActiveState& state,
                    const audit::AuditLog& audit_log, PeerConnections& connections)
        : membership_(membership),
          state_(state),
          audit_log_(audit_log),
          connections_(connections) {}

    // Returns a message with the sender's fields filled in; the caller sets its content.
    wire::Word new_message() const;
    void send(const Name& to, const wire::Word& message);
    void reply(LinkId link, const wire::Word& message) {
        connections_.reply(link, message);
    }

    void ping(const Name& to, PingId id, const Gossip& gossip);
    void request_indirect_ping(const Name& helper, PingId id, const Name& target,
                               const Gossip& gossip);
    void acknowledge(const Name& to, PingId id, const Gossip& gossip);
    void report_no_answer(const Name& to, PingId id);
    // Sends the request to the member that listens at the address, whichever it is.
    void request_member_table(const std::string& address);
    void send_member_table(const Name& to, const Gossip& part, bool wants_reply);

    void request_state(const Name& from, audit::VersionPart part);
    void transfer_state(const Name& to, audit::VersionPart part);
    void request_confirmation(const Name& of, audit::VersionPart part,
                              const audit::ContentVersion& version);
    void confirm(const Name& to, std::uint32_t wire_part, const audit::ContentVersion& version,
                 bool confirmed);
    void send_refusal(const Name& name);
    void request_record(const Name& of, std::uint64_t query);
    void send_record(const Name& to, std::uint64_t query);

    void send_slow_start_limits(const Name& to, const wire::Paces& limits);
    void report_recent_attempts(const Name& to, double attempts);
    void send_replication(const Name& to, const wire::Holding& holding);
    void reply_replication_status(LinkId link, const wire::Holdings& status);

  private:
    const Membership& membership_;
    const ActiveState& state_;
    const audit::AuditLog& audit_log_;
    PeerConnections& connections_;
};

}  // namespace tideline::cluster
