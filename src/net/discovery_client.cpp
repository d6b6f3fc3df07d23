#include "net/discovery_client.hpp"

#include <fmt/core.h>

#include <algorithm>

namespace tideline::net {

using nlohmann::json;

DiscoveryClient::DiscoveryClient(EventLoop& loop, Owner& owner, const Settings& settings,
                                 Address address, const json& configured_list)
    : loop_(loop),
      owner_(owner),
      list_(settings),
      address_(address),
      watches_{HttpStreamCall(loop, address), HttpStreamCall(loop, address)},
      started_at_(clock_now()) {
    list_.advance_revision(EndpointList::revision_of(configured_list).value_or(0));
}

// A discovery service that lags behind may send old changes after newer ones were received from
// another source. They are ignored: applied now, they would undo the newer ones.
bool DiscoveryClient::apply_list(const json& list, bool from_configuration) {
    const auto revision = EndpointList::revision_of(list);
    if (revision && !owner_.accepts_revision(*revision)) {
        return true;
    }
    const EndpointListUpdate update = list_.read(list, from_configuration);
    if (update.is_list) {
        owner_.endpoint_list_received(update.kind, update.endpoints, update.addresses);
    }
    return update.is_list && update.accepted;
}

// After a move, the watch at the old address confirms nothing: it may report no changes while the
// new address has changes to send, which already count as notified.
void DiscoveryClient::confirm_list(int watch_index, Seconds as_of) {
    const Seconds now = clock_now();
    if (moving_ && watch_index == current_) {
        return;
    }
    owner_.endpoint_list_confirmed(as_of);
    if (unanswered_calls_ > 0) {
        owner_.watch_restored(
            fmt::format("revision={} answer_s={:.2f} calls={} unconfirmed_s={:.1f}",
                        list_.revision(), now - last_call_at_, unanswered_calls_,
                        now - last_confirmed_at_.value_or(started_at_)));
    }
    unanswered_calls_ = 0;
    last_confirmed_at_ = now;
}

// Called when a watch has sent something. After a move, everything that the old watch had sent was
// read before the new one is made current.
void DiscoveryClient::make_current(int watch_index) {
    if (watch_index == current_) {
        return;
    }
    watches_[current_].drop();
    current_ = watch_index;
    moving_ = false;
}

void DiscoveryClient::object_received(int watch_index, const std::string& text) {
    make_current(watch_index);
    const Seconds as_of = loop_.arrived_after();
    if (text.empty()) {
        return confirm_list(watch_index, as_of);  // a heartbeat
    }
    const json list = json::parse(text, nullptr, false);
    if (!list.is_discarded() && apply_list(list, false)) {
        return confirm_list(watch_index, as_of);
    }
    watches_[watch_index].drop();
    CallLoss loss;
    loss.error = CallError::malformed_json;
    watch_lost(watch_index, loss);
}

// The discovery protocol counts changes as notified even if they happened while no watch was open,
// so the call names the last known revision. An overloaded discovery service accepts a call and
// sends heartbeats before it handles the call. Only after the time within which it would have sent
// a change is it certain that nothing had changed when the call was accepted.
void DiscoveryClient::open_watch(int watch_index) {
    loop_.timers.cancel(retry_timer_);
    ++unanswered_calls_;
    last_call_at_ = clock_now();
    HttpStreamCall::Callbacks callbacks;
    callbacks.object = [this, watch_index](const std::string& text) {
        object_received(watch_index, text);
    };
    callbacks.completed = [this, watch_index] {
        watches_[watch_index].drop();
        watch_lost(watch_index, CallLoss{});
    };
    callbacks.lost = [this, watch_index](const CallLoss& loss) { watch_lost(watch_index, loss); };
    callbacks.object_began = [this] { owner_.endpoint_list_unreadable(loop_.arrived_after()); };
    callbacks.accepted = [this, watch_index](Seconds accepted_at) {
        make_current(watch_index);
        confirm_list(watch_index, accepted_at);
    };
    callbacks.settle_time = kAcceptedCallSettleDelay;
    watches_[watch_index].begin(fmt::format("/v1/servers?follow=1&since={}", list_.revision()),
                                kWatchFirstObjectTimeout, kWatchSilenceTimeout, callbacks);
}

void DiscoveryClient::follow() {
    open_watch(current_);
}

// Changes count as notified even while no watch is open. Therefore the old watch stays open after a
// move until the new one has sent something; the new one is opened beside it and reopened whenever
// it is lost.
void DiscoveryClient::move(Address address, Seconds since) {
    if (address == address_) {
        return;
    }
    address_ = address;
    backoff_ = kInitialReconnectBackoff;
    for (HttpStreamCall& watch : watches_) {
        watch.move(address);
    }
    owner_.discovery_moved(since);
    moving_ = watches_[current_].open();
    if (moving_) {
        open_watch(1 - current_);
    }
}

void DiscoveryClient::watch_lost(int watch_index, const CallLoss& loss) {
    if (watch_index != current_) {
        retry_timer_ = loop_.timers.at(clock_now() + backoff_,
                                       [this, watch_index] { open_watch(watch_index); });
        backoff_ = std::min(kMaxReconnectBackoff, 2 * backoff_);
        return;
    }
    if (watches_[1 - watch_index].open()) {
        current_ = 1 - watch_index;
        moving_ = false;
        return;
    }
    loop_.timers.cancel(retry_timer_);
    moving_ = false;
    report_loss(loss);
}

void DiscoveryClient::report_loss(const CallLoss& loss) {
    const Seconds now = clock_now();
    std::string details = fmt::format("reason={} revision={}", loss.text(), list_.revision());
    if (unanswered_calls_ > 0) {
        details += fmt::format(" unconfirmed_s={:.1f} calls={} answer_s={:.2f}",
                               now - last_confirmed_at_.value_or(started_at_), unanswered_calls_,
                               now - last_call_at_);
    }
    owner_.watch_lost(loop_.arrived_after(), loss.kind(), details);
}

}  // namespace tideline::net
