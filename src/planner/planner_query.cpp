#include "planner/planner_query.hpp"

namespace tideline::planner {
namespace {

// A planner drops a subscription after three times this interval.
constexpr Seconds kRenewalInterval = 5;

wire::Word request_message(const wire::LeaseAsk& ask) {
    wire::Word message;
    *message.mutable_lease_ask() = ask;
    return message;
}
wire::Word watch_message() {
    wire::Word message;
    message.mutable_lease_ask()->set_what(wire::LeaseAsk::WATCH);
    return message;
}

}  // namespace

Watch::Watch(net::EventLoop& loop, const net::Address& address,
             std::function<void(const wire::Holds&)> on_holder)
    : QueryConnection(loop, address, watch_message()), on_holder_(std::move(on_holder)) {
    schedule_renewal();
}
Watch::~Watch() {
    loop_.timers.cancel(renewal_timer_);
}
void Watch::schedule_renewal() {
    renewal_timer_ = loop_.timers.at(net::clock_now() + kRenewalInterval, [this] {
        send(watch_message());
        schedule_renewal();
    });
}
bool Watch::handle(const wire::Word& message) {
    if (message.has_holds()) {
        on_holder_(message.holds());
    }
    return true;
}

PlannerQuery::PlannerQuery(net::EventLoop& loop, const net::Address& address,
                           const wire::LeaseAsk& ask)
    : QueryConnection(loop, address, request_message(ask)) {}
bool PlannerQuery::handle(const wire::Word& message) {
    if (!message.has_lease_answer()) {
        return false;
    }
    answer = message.lease_answer();
    answered = finished = true;
    return true;
}

}  // namespace tideline::planner
