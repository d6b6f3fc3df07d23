#include "cluster/planner_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "lease/clock.hpp"

namespace tideline::cluster {
namespace {

using lease::boottime_now;
using lease::FencingToken;
using lease::LeaseName;
using lease::LeaseRequestId;

// Ids of operations begin here; lower ids are used by the lease client.
constexpr std::uint64_t kFirstOperationId = 1ULL << 63;
constexpr Seconds kOperationTimeout = 5;  // s
constexpr Seconds kReadTimeout = 0.5;     // s
// A planner ends a subscription that was not renewed for three times this interval.
constexpr Seconds kWatchInterval = 5;
constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024;  // enough for the table of a planner

}  // namespace

PlannerClient::PlannerClient(net::EventLoop& loop, net::Log& log, Owner& owner,
                             const std::vector<std::string>& planners,
                             const lease::LeaseClientSettings& settings,
                             const std::string& own_address, const lease::Member& self)
    : loop_(loop),
      log_(log),
      owner_(owner),
      planners_(planners),
      own_address_(own_address),
      self_(self),
      peer_connections_(loop, *this, {2 * planners.size() + 2, kMaxFrameBytes},
                        net::address_of(own_address)->host),
      lease_client_(*this, settings, self.incarnation),
      planner_index_(self.incarnation.value % planners.size()) {}
PlannerClient::~PlannerClient() {
    loop_.timers.cancel(tick_timer_);
    loop_.timers.cancel(watch_timer_);
}

void PlannerClient::acquire(const LeaseName& lease) {
    lease_client_.acquire(boottime_now(), lease);
    schedule_tick();
}
void PlannerClient::release_all() {
    for (const LeaseName& lease : lease_client_.wanted_leases()) {
        lease_client_.release(boottime_now(), lease);
    }
    schedule_tick();
}
void PlannerClient::watch() {
    send(make_request(wire::LeaseAsk::WATCH, kFirstOperationId, {}, {}));
    watch_timer_ = loop_.timers.at(net::clock_now() + kWatchInterval, [this] { watch(); });
}
std::optional<FencingToken> PlannerClient::may_act(const LeaseName& lease) const {
    return lease_client_.may_act(boottime_now(), lease);
}

wire::LeaseAsk PlannerClient::make_request(wire::LeaseAsk::What what, std::uint64_t id,
                                           const LeaseName& lease, FencingToken token) const {
    wire::LeaseAsk request;
    request.set_what(what);
    request.set_no(id);
    request.set_lease(lease.value);
    request.set_fence(token.value);
    request.set_member(self_.name.value);
    request.set_life(self_.incarnation.value);
    return request;
}
void PlannerClient::send(const wire::LeaseAsk& request) {
    wire::Word message;
    message.mutable_from()->mutable_self()->set_name(self_.name.value);
    message.mutable_from()->mutable_self()->set_address(own_address_);
    *message.mutable_lease_ask() = request;
    const std::string& planner = planners_[planner_index_];
    peer_connections_.send(Name{planner}, planner, message);
}
void PlannerClient::request_acquire(LeaseRequestId id, const LeaseName& lease) {
    send(make_request(wire::LeaseAsk::TAKE, id.value, lease, {}));
}
void PlannerClient::request_renewal(LeaseRequestId id, const LeaseName& lease, FencingToken token) {
    send(make_request(wire::LeaseAsk::RENEW, id.value, lease, token));
}
void PlannerClient::request_release(LeaseRequestId id, const LeaseName& lease, FencingToken token) {
    send(make_request(wire::LeaseAsk::GIVE_BACK, id.value, lease, token));
}
void PlannerClient::request_stop_waiting(LeaseRequestId id, const LeaseName& lease) {
    send(make_request(wire::LeaseAsk::STOP_WAITING, id.value, lease, {}));
}
void PlannerClient::switch_planner() {
    planner_index_ = (planner_index_ + 1) % planners_.size();
}
void PlannerClient::on_acquired(const LeaseName& lease, FencingToken token) {
    log_.line("lease acquired: lease={} token={}", lease.value, token.value);
    loop_.timers.soon([this, lease, token] { owner_.on_lease_acquired(lease, token); });
}
void PlannerClient::on_lost(const LeaseName& lease, FencingToken token, lease::LossReason reason) {
    log_.line("lease lost: lease={} token={} reason={}", lease.value, token.value,
              reason == lease::LossReason::released  ? "released"
              : reason == lease::LossReason::expired ? "expired"
                                                     : "revoked");
    wanted_alarms_.forget(lease);
    loop_.timers.soon([this, lease, token] { owner_.on_lease_lost(lease, token); });
}

void PlannerClient::set_alarm(const LeaseName& lease, bool raised, const std::string& key,
                              const std::string& text) {
    if (!may_act(lease)) {
        return;
    }
    wanted_alarms_.want({lease, key, raised, text});
    send_alarms();
    schedule_tick();
}
// Sends the changes of alarms that are due, each under the token of its lease.
void PlannerClient::send_alarms() {
    expire_operations();
    for (const AlarmChange& change : wanted_alarms_.take_due(boottime_now())) {
        const auto token = may_act(change.lease);
        if (!token) {
            wanted_alarms_.forget(change.lease);
            continue;
        }
        Operation operation;
        operation.kind = Operation::Kind::set_alarm;
        operation.lease = change.lease;
        operation.key = change.key;
        operation.raised = change.raised;
        const auto what = change.raised ? wire::LeaseAsk::RAISE : wire::LeaseAsk::CLEAR;
        wire::LeaseAsk request =
            make_request(what, start_operation(operation), change.lease, *token);
        request.set_key(change.key);
        request.set_text(change.text);
        send(request);
    }
}
void PlannerClient::request_raised_alarms(const LeaseName& lease) {
    Operation operation;
    operation.kind = Operation::Kind::list_alarms;
    operation.lease = lease;
    send(make_request(wire::LeaseAsk::TABLE, start_operation(operation), lease, {}));
}
void PlannerClient::write_document(const LeaseName& lease, std::uint64_t number,
                                   const std::string& bytes) {
    const auto token = may_act(lease);
    if (!token) {
        return;
    }
    Operation operation;
    operation.kind = Operation::Kind::write_document;
    operation.lease = lease;
    operation.number = number;
    wire::LeaseAsk request =
        make_request(wire::LeaseAsk::WRITE, start_operation(operation), lease, *token);
    request.set_number(number);
    request.set_text(bytes);
    send(request);
}
void PlannerClient::request_document(const LeaseName& lease) {
    expire_operations();
    if (is_running(Operation::Kind::read_document, lease, {})) {
        return;
    }
    Operation operation;
    operation.kind = Operation::Kind::read_document;
    operation.lease = lease;
    send(make_request(wire::LeaseAsk::READ, start_operation(operation), lease, {}));
}

std::uint64_t PlannerClient::start_operation(const Operation& operation) {
    const std::uint64_t id = kFirstOperationId + ++last_operation_;
    operations_[id] = operation;
    operations_[id].started_at = boottime_now();
    return id;
}
bool PlannerClient::is_running(Operation::Kind kind, const LeaseName& lease,
                               const std::string& key) const {
    return std::any_of(operations_.begin(), operations_.end(), [&](const auto& each) {
        const Operation& operation = each.second;
        return operation.kind == kind && operation.lease == lease && operation.key == key;
    });
}
// An operation whose answer was lost must not block the next operation of the same kind for ever.
void PlannerClient::expire_operations() {
    const Seconds now = boottime_now();
    std::erase_if(operations_, [&](const auto& each) {
        const bool reads = each.second.kind == Operation::Kind::read_document;
        return now > each.second.started_at + (reads ? kReadTimeout : kOperationTimeout);
    });
}

void PlannerClient::on_message(LinkId, const wire::Word& message) {
    if (message.has_turn()) {
        return handle_turn(message.turn());
    }
    if (message.has_holds() && message.holds().cluster() == planner_cluster_id_) {
        const wire::Holds& holds = message.holds();
        owner_.on_holder_changed(LeaseName{holds.lease()}, Name{holds.member()},
                                 FencingToken{holds.fence()}, holds.number());
    }
    if (message.has_lease_answer()) {
        handle_answer(message.lease_answer());
    }
}
void PlannerClient::handle_turn(const wire::Turn& turn) {
    if (turn.member() == self_.name.value && turn.life() == self_.incarnation.value) {
        lease_client_.on_turn(boottime_now(), LeaseName{turn.lease()});
    }
    schedule_tick();
}
void PlannerClient::handle_answer(const wire::LeaseAnswer& answer) {
    if (!is_from_known_cluster(answer)) {
        return;
    }
    const auto found = operations_.find(answer.no());
    if (found == operations_.end()) {
        pass_to_lease_client(answer);
        return schedule_tick();
    }
    const Operation operation = found->second;
    operations_.erase(found);
    finish_operation(operation, answer);
}
// Planners of another cluster know nothing of the leases that were granted here. The first answer
// determines which cluster is the right one.
bool PlannerClient::is_from_known_cluster(const wire::LeaseAnswer& answer) {
    if (planner_cluster_id_ == 0) {
        planner_cluster_id_ = answer.cluster();
    }
    if (answer.cluster() == planner_cluster_id_) {
        return true;
    }
    if (!std::exchange(logged_foreign_cluster_, true)) {
        log_.alarm("planner of another cluster answered: cluster={:016x} expected={:016x}",
                   answer.cluster(), planner_cluster_id_);
    }
    return false;
}
void PlannerClient::finish_operation(const Operation& operation, const wire::LeaseAnswer& answer) {
    const auto what = static_cast<lease::Answer>(answer.what());
    const bool granted = what == lease::Answer::granted;
    if (what == lease::Answer::not_now) {
        switch_planner();
    }
    if (operation.kind == Operation::Kind::write_document) {
        return owner_.on_document_written(operation.lease, operation.number,
                                          granted && answer.done());
    }
    if (operation.kind == Operation::Kind::set_alarm) {
        wanted_alarms_.on_answer(boottime_now(), operation.lease, operation.key, granted);
        send_alarms();
        schedule_tick();
    }
    if (!granted) {
        return;
    }
    switch (operation.kind) {
        case Operation::Kind::read_document:
            return owner_.on_document_read(operation.lease, answer.number(), answer.bytes());
        case Operation::Kind::set_alarm:
            return owner_.on_alarm_committed(operation.lease, operation.key, operation.raised,
                                             answer.done());
        case Operation::Kind::list_alarms:
            return report_raised_alarms(operation.lease, answer.table());
        case Operation::Kind::write_document:
            return;
    }
}
void PlannerClient::report_raised_alarms(const LeaseName& lease, const wire::PlannerTable& table) {
    if (table.stale()) {
        return;
    }
    std::set<std::string> keys;
    for (const auto& alarm : table.raised()) {
        if (alarm.lease() == lease.value) {
            keys.insert(alarm.key());
        }
    }
    owner_.on_raised_alarms(lease, keys);
}
void PlannerClient::pass_to_lease_client(const wire::LeaseAnswer& answer) {
    const Seconds now = boottime_now();
    const LeaseRequestId id{answer.no()};
    switch (static_cast<lease::Answer>(answer.what())) {
        case lease::Answer::granted:
            return lease_client_.on_granted(now, id, FencingToken{answer.fence()}, answer.span());
        case lease::Answer::waiting:
            return lease_client_.on_waiting(now, id, answer.before());
        case lease::Answer::over:
            return lease_client_.on_over(now, id);
        case lease::Answer::not_now:
            return lease_client_.on_not_now(now, id);
        case lease::Answer::refused:
            return lease_client_.on_refused(now, id);
    }
}
void PlannerClient::schedule_tick() {
    loop_.timers.cancel(tick_timer_);
    const Seconds at = std::min(lease_client_.due(), wanted_alarms_.due());
    if (at == std::numeric_limits<double>::infinity()) {
        return;
    }
    tick_timer_ = loop_.timers.at(net::clock_now() + std::max(0.0, at - boottime_now()), [this] {
        tick_timer_ = net::Timers::kNone;
        lease_client_.tick(boottime_now());
        send_alarms();
        schedule_tick();
    });
}

}  // namespace tideline::cluster
