// Answers queries for the state of the cluster, from the command line and tools over a connection,
// and from this member's own fleet audit. A query lists all known members. With records, it also
// asks each reachable member for its audit record and verifies it.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "audit/sealed_heads.hpp"
#include "audit/version_audit.hpp"
#include "cluster/member_messenger.hpp"
#include "net/log.hpp"

namespace tideline::cluster {

// Holds references: the constructor's arguments must outlive it. Used on the thread of the event
// loop.
class AuditQueries {
  public:
    using Rows = std::vector<wire::Row>;
    // `on_query_finished` is called with all rows once each query of this member's own fleet audit
    // ends.
    AuditQueries(net::Log& log, const Membership& membership,
                 const audit::VersionAudit& version_audit, const audit::AuditLog& audit_log,
                 const audit::SealedHeads& heads, MemberMessenger& messenger,
                 std::function<void(const Rows&)> on_query_finished)
        : log_(log),
          membership_(membership),
          version_audit_(version_audit),
          audit_log_(audit_log),
          heads_(heads),
          messenger_(messenger),
          on_query_finished_(std::move(on_query_finished)) {}

    // Answers over the connection, with one message per row and a last message without one. If too
    // many queries are running already, only the last message is sent.
    void answer_query(LinkId link, bool with_records);
    // Starts a query with records for this member's own fleet audit.
    void start_fleet_audit();
    void member_heard(Seconds now, const Name& name) {
        last_heard_[name] = now;
    }
    void record_received(const Name& by, const wire::Record& record);
    // Gives up on members that did not answer in time. To be called regularly.
    void expire_requests();

  private:
    struct Query {
        LinkId link;                  // not set for this member's own fleet audit
        bool is_fleet_audit = false;  // started by this member's own fleet audit
        Rows rows;                    // collected only for this member's own fleet audit
        std::deque<Name> unasked;     // members to be asked
        std::set<Name> awaited;       // members that were asked and have not answered
        Seconds deadline = 0;
    };
    void start_query(LinkId link, bool with_records, bool is_fleet_audit);
    void ask_next_members(std::uint64_t id, Query& query);
    void add_unreachable_rows(Query& query);
    void send_row(Query& query, wire::Row row);
    void finish_query(const Query& query);
    wire::Row make_row(const Entry& entry) const;
    wire::Fleet make_answer() const;

    net::Log& log_;
    const Membership& membership_;
    const audit::VersionAudit& version_audit_;
    const audit::AuditLog& audit_log_;
    const audit::SealedHeads& heads_;
    MemberMessenger& messenger_;
    std::function<void(const Rows&)> on_query_finished_;
    std::map<Name, Seconds> last_heard_;  // when each member last sent a message of its own
    std::map<std::uint64_t, Query> queries_;
    std::uint64_t last_query_id_ = 0;
};

}  // namespace tideline::cluster
