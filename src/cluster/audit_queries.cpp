#include "cluster/audit_queries.hpp"

#include "cluster/message_codec.hpp"
#include "cluster/state_names.hpp"
#include "net/check_invariant.hpp"

namespace tideline::cluster {
namespace {

using audit::VersionPart;

// Members asked at the same time. Limited so that an audit of a large cluster does not open a burst
// of connections.
constexpr std::size_t kMaxConcurrentRequests = 32;
// Time-out for the records of the members that were asked. Slower members are shown as unreachable.
constexpr Seconds kRecordTimeout = 2;
// Concurrent queries. Limits the load that clients can cause by repeating their queries.
constexpr std::size_t kMaxQueries = 16;
// Value of heard_ago for a member that never sent a message of its own.
constexpr double kNeverHeard = -1;

}  // namespace

void AuditQueries::answer_query(LinkId link, bool with_records) {
    if (queries_.size() >= kMaxQueries) {
        Query refused;
        refused.link = link;
        return finish_query(refused);
    }
    start_query(link, with_records, false);
}

void AuditQueries::start_fleet_audit() {
    start_query({}, true, true);
}

void AuditQueries::start_query(LinkId link, bool with_records, bool is_fleet_audit) {
    const std::uint64_t id = ++last_query_id_;
    Query query;
    query.link = link;
    query.is_fleet_audit = is_fleet_audit;
    query.deadline = net::clock_now() + kRecordTimeout;
    wire::Row self = make_row(membership_.self());
    if (with_records) {
        put(audit_log_.record(), *self.mutable_record());
    }
    send_row(query, std::move(self));
    for (const auto& [name, entry] : membership_.others()) {
        if (with_records && entry.state <= MemberState::suspected) {
            query.unasked.push_back(name);
        } else {
            send_row(query, make_row(entry));
        }
    }
    ask_next_members(id, queries_.emplace(id, std::move(query)).first->second);
    expire_requests();
}

void AuditQueries::ask_next_members(std::uint64_t id, Query& query) {
    while (!query.unasked.empty() && query.awaited.size() < kMaxConcurrentRequests) {
        const Name name = query.unasked.front();
        query.unasked.pop_front();
        query.awaited.insert(name);
        query.deadline = net::clock_now() + kRecordTimeout;
        messenger_.request_record(name, id);
    }
}

void AuditQueries::record_received(const Name& by, const wire::Record& from) {
    const auto it = queries_.find(from.no());
    if (it == queries_.end() || it->second.awaited.erase(by) == 0) {
        return;
    }
    const auto entry = membership_.find(by);
    const audit::Record record = record_from(from);
    wire::Row row = make_row(*entry);
    std::string fault = audit::find_record_fault(record);
    if (fault.empty()) {
        fault = heads_.find_record_fault(record);
    }
    if (record.name != by) {
        fault = "it answers with the record of " + record.name.value;
    }
    row.set_fault(fault);
    if (!fault.empty()) {
        log_.alarm("audit record fault: member={} fault='{}'", by.value, fault);
    }
    *row.mutable_record() = from;
    send_row(it->second, std::move(row));
    ask_next_members(it->first, it->second);
    expire_requests();
}

void AuditQueries::expire_requests() {
    for (auto it = queries_.begin(); it != queries_.end();) {
        Query& query = it->second;
        if (net::clock_now() > query.deadline) {
            add_unreachable_rows(query);
            ask_next_members(it->first, query);
        }
        if (!query.awaited.empty() || !query.unasked.empty()) {
            ++it;
            continue;
        }
        const auto finished = queries_.extract(it++);
        finish_query(finished.mapped());
    }
}

void AuditQueries::add_unreachable_rows(Query& query) {
    for (const Name& name : query.awaited) {
        if (const auto entry = membership_.find(name)) {
            wire::Row row = make_row(*entry);
            row.set_state("unreachable");
            send_row(query, std::move(row));
        }
    }
    query.awaited.clear();
}

void AuditQueries::send_row(Query& query, wire::Row row) {
    if (query.is_fleet_audit) {
        return query.rows.push_back(std::move(row));
    }
    wire::Word message;
    *message.mutable_fleet() = make_answer();
    *message.mutable_fleet()->add_rows() = std::move(row);
    messenger_.reply(query.link, message);
}

void AuditQueries::finish_query(const Query& query) {
    if (query.is_fleet_audit) {
        return on_query_finished_(query.rows);
    }
    wire::Word message;
    *message.mutable_fleet() = make_answer();
    message.mutable_fleet()->set_last(true);
    messenger_.reply(query.link, message);
}

// The version status of a member relies on its own recent messages: a member that is not reachable
// may lag by now, so its membership state is shown instead.
wire::Row AuditQueries::make_row(const Entry& entry) const {
    const Seconds now = net::clock_now();
    const auto heard = last_heard_.find(entry.name);
    wire::Row row;
    put(entry, *row.mutable_entry());
    if (entry.name == membership_.self().name) {
        row.set_heard_ago(0);
    } else {
        row.set_heard_ago(heard == last_heard_.end() ? kNeverHeard : now - heard->second);
    }
    row.set_behind(version_audit_.behind_for(now, entry.name));
    row.set_state(entry.state <= MemberState::suspected
                      ? name_of(version_audit_.status_of(now, entry.name))
                      : name_of(entry.state));
    return row;
}

wire::Fleet AuditQueries::make_answer() const {
    wire::Fleet answer;
    answer.set_asked(membership_.self().name.value);
    answer.set_now(net::clock_now());
    answer.set_floor_list(version_audit_.required_rank(VersionPart::list));
    answer.set_floor_news(version_audit_.required_rank(VersionPart::release));
    answer.set_health(membership_.health());
    return answer;
}

}  // namespace tideline::cluster
