#include "net/sidecar.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/check_invariant.hpp"
#include "net/limits.hpp"
#include "net/postgres_protocol.hpp"
#include "policy/delay_bounds.hpp"

namespace tideline::net {

Sidecar::Sidecar(EventLoop& loop, Log& log, const SidecarConfig& config, ClusterObserver* observer,
                 DuplicateEffectGuard* effect_guard)
    : loop_(loop),
      log_(log),
      observer_(observer),
      effect_guard_(effect_guard),
      settings_(config.settings),
      name_(config.name),
      listen_address_(config.listen),
      max_descriptors_(allowed_descriptors(config.max_descriptors)),
      memory_limits_(memory_limits_of(config.max_memory_bytes)),
      request_classes_(request_classes_of(settings_)),
      tenants_(tenants_of(settings_)),
      guarded_effects_(effect_guard ? guarded_effects_of(settings_, request_classes_)
                                    : std::map<RequestClass, Effect>{}),
      clients_(loop, *this, longest_time_limit(settings_), memory_limits_),
      endpoints_(loop, *this, config.required_number("allowed.connect_time"),
                 config.required_number("allowed.keep_idle")),
      discovery_(loop, *this, settings_, config.discovery, config.initial_endpoint_list),
      platform_(loop, *this, config.platform, config.required_number("release.vote_wait"),
                config.seed),
      overlapping_attempts_(overlapping_attempts_allowed(settings_)),
      ready_by_(clock_now() + kReadyTimeout) {
    policy_ = std::make_unique<RoutingPolicy>(*this, settings_, config.seed, clock_now());
    discovery_.begin(config.initial_endpoint_list);
    platform_.read_state(config.initial_release_state);
    platform_.begin();
    if (endpoint_list_is_pushed(settings_)) {
        discovery_.follow();
    }
    if (!clients_.listen(config.listen)) {
        const std::string reason = std::strerror(errno);
        throw std::runtime_error("listen: can't listen at " + text_of(config.listen) + ": " +
                                 reason);
    }
    log_.line("sidecar started: name={} descriptors={}", config.name, max_descriptors_);
    ready_timer_ = loop_.timers.at(ready_by_, [this] { clients_.resume_waiting_clients(); });
    report_periodically();
}

Sidecar::~Sidecar() {
    loop_.timers.cancel(report_timer_);
    loop_.timers.cancel(ready_timer_);
}

void Sidecar::shut_down() {
    if (!std::exchange(shutting_down_, true)) {
        shutdown_deadline_ = clock_now() - kShutdownOverlapDuration + kExtraTimeAtShutdown -
                             kMaxWriteDelay +
                             std::min(longest_time_limit(settings_), kMaxTimeLimitAtShutdown);
    }
    clients_.shut_down();
    loop_.timers.at(clock_now() + kClientLingerTimeout / 10, [this] { shut_down(); });
}

void Sidecar::reload(const SidecarConfig& new_config, Seconds since) {
    discovery_.move(new_config.discovery, since);
    platform_.move(new_config.platform);
    max_descriptors_ = allowed_descriptors(new_config.max_descriptors);
    memory_limits_ = memory_limits_of(new_config.max_memory_bytes);
    clients_.set_memory_limits(memory_limits_);
    log_.line("configuration reloaded: descriptors={}", max_descriptors_);
    std::string needs_restart;
    if (new_config.name != name_) {
        needs_restart += " name";
    }
    if (new_config.listen != listen_address_) {
        needs_restart += " listen";
    }
    if (new_config.settings != settings_) {
        needs_restart += " settings";
    }
    if (!needs_restart.empty()) {
        log_.line("configuration change needs restart:{}", needs_restart);
    }
}

// --- Decisions of the routing policy

void Sidecar::attempt(RequestId request, const EndpointId& endpoint, Seconds stop_at) {
    OpenRequest* open = requests_.find(request);
    if (!check_invariant(open != nullptr && !open->concluded,
                         "no attempt after the final answer")) {
        return;
    }
    check_invariant(open->attempts_in_flight == 0 || overlapping_attempts_,
                    "attempts of a request overlap only where the settings allow it");
    const AttemptNumber number{open->attempts++};
    counters_.retries += number.value > 0 ? 1 : 0;
    ++open->attempts_in_flight;
    if (open->effect != Effect::idempotent) {
        return request_effect_clearance(request, *open, number, endpoint, stop_at);
    }
    send(request, *open, number, endpoint, stop_at);
}

void Sidecar::send(RequestId request, const OpenRequest& open, AttemptNumber number,
                   const EndpointId& endpoint, Seconds stop_at) {
    if (observer_) {
        observer_->attempted(endpoint);
    }
    endpoints_.attempt(request, number, endpoint, std::min(stop_at, open.deadline));
}

void Sidecar::conclude(RequestId request, std::string_view answer) {
    OpenRequest* open = requests_.find(request);
    if (!check_invariant(open != nullptr && !open->concluded,
                         "one final answer for each request")) {
        return;
    }
    open->concluded = true;
    counters_.answered_late += clock_now() > open->deadline + kAnswerWriteMargin ? 1 : 0;
    clients_.answer(open->client, answer);
    forget_if_done(request);
}

void Sidecar::reject(RequestId request, Seconds retry_after) {
    ++counters_.rejected;
    const auto milliseconds = std::llround(retry_after * 1e3);
    const std::string retry_after_text = milliseconds > 0 ? std::to_string(milliseconds) : "";
    conclude(request, pg::error("ERROR", "53300", "throttled", retry_after_text));
}

void Sidecar::fail(RequestId request) {
    ++counters_.failed;
    conclude(request, pg::error("ERROR", "58000", "terminated"));
}

void Sidecar::send_health_check(const EndpointId& endpoint) {
    endpoints_.begin_health_check(endpoint);
}

void Sidecar::watch_endpoint_list() {
    discovery_.follow();
}

void Sidecar::vote(Build build, Stage stage, Vote vote) {
    if (observer_) {
        observer_->voted(vote);
    }
    platform_.vote(build, stage, vote);
}

void Sidecar::build_marked(Build, Stage) {
    if (observer_) {
        observer_->build_marked();
    }
}

void Sidecar::set_timer(Seconds after, TimerId timer) {
    loop_.timers.at(clock_now() + after,
                    [this, timer] { policy_->timer_fired(decision_time(), timer); });
}

void Sidecar::log_event(const std::string& text) {
    log_.line("{}", text);
}

// --- Clients

// Clients are served once the endpoint list is confirmed. If that never happens, they are served
// after a timeout all the same, so that they get an answer.
bool Sidecar::can_serve() {
    return has_endpoints_ && (list_confirmed_ || clock_now() >= ready_by_);
}

long Sidecar::max_idle_clients() {
    return static_cast<long>(max_descriptors_ / kIdleClientDescriptorDivisor);
}

bool Sidecar::has_room_for_client() {
    return make_room_below(max_descriptors_ - max_descriptors_ / kEndpointDescriptorDivisor);
}

bool Sidecar::has_room_for_connection() {
    return make_room_below(max_descriptors_);
}

// Under overload, clients open more and more connections, and their requests take further
// descriptors for endpoints. Connections of little use are closed until there is room.
bool Sidecar::make_room_below(std::size_t descriptors) {
    while (loop_.watched_count() + kReservedDescriptors >= descriptors) {
        if (!endpoints_.close_unfinished_connection() &&
            !clients_.close_one_client(kIdleClientEvictionThreshold) &&
            !endpoints_.close_idle_connection() && !clients_.close_one_client(kClientSettleDelay)) {
            return false;
        }
    }
    return true;
}

std::optional<RequestId> Sidecar::admit(ClientId client, const ClientQuery& query,
                                        Seconds arrived_at) {
    const auto request_class = request_classes_.find(query.request_class);
    if (request_class == request_classes_.end()) {
        return std::nullopt;
    }
    const auto id = request_ids_.reserve(client, query.id, clock_now());
    if (!id) {
        return std::nullopt;
    }
    const auto tenant = tenants_.find(query.tenant);
    OpenRequest open;
    open.client = client;
    open.id = *id;
    open.statement = query.statement;
    open.budget_offset = query.budget_offset;
    open.budget_size = query.budget_size;
    open.request_class = request_class->second;
    open.tenant = tenant == tenants_.end() ? TenantId{-1} : tenant->second;
    const auto effect = guarded_effects_.find(request_class->second);
    if (effect != guarded_effects_.end()) {
        open.effect = effect->second;
        open.fingerprint = query.fingerprint.empty() ? query.id : query.fingerprint;
        open.tenant_name = query.tenant;
    }
    open.key = object_key_of(query.record);
    open.deadline = arrived_at + std::max(0.0, query.budget - kAnswerWriteMargin);
    if (shutting_down_) {
        open.deadline = std::min(open.deadline, shutdown_deadline_);
    }
    counters_.admitted_late += clock_now() - arrived_at > kSuspensionThreshold ? 1 : 0;
    ++counters_.admitted;
    return requests_.add(std::move(open));
}

void Sidecar::request_admitted(RequestId request) {
    const OpenRequest& open = *requests_.find(request);
    if (!has_memory_for(open)) {
        ++counters_.rejected_for_memory;
        return reject(request, 0);
    }
    const Seconds now = decision_time();
    policy_->request_arrived(now, request, open.request_class, open.tenant, open.key,
                             open.deadline - now, std::nullopt);
}

// Small requests are always served: together they take up little.
bool Sidecar::has_memory_for(const OpenRequest& open) const {
    return open.statement.size() <= kInitialBufferBytes ||
           requests_.statement_bytes() <= memory_limits_.statements;
}

void Sidecar::client_disconnected(RequestId request) {
    OpenRequest* open = requests_.find(request);
    if (!open || open->concluded) {
        return;
    }
    ++counters_.abandoned;
    open->concluded = true;
    policy_->request_abandoned(decision_time(), request);
    endpoints_.withdraw_undelivered(request);
    if (const auto attempt = take_guarded_attempt(request)) {
        return end_unsent_attempt(request, *attempt, true);
    }
    forget_if_done(request);
}

void Sidecar::forget_if_done(RequestId request) {
    const OpenRequest* open = requests_.find(request);
    if (!open || !open->concluded || open->attempts_in_flight > 0) {
        return;
    }
    if (open->effect != Effect::idempotent) {
        effect_guard_->request_ended(request);
    }
    settle_id(*open);
    requests_.remove(request);
}

// No attempt of the request is in flight any more, so it is known whether it may have run. The end
// of the client's connection, if it is still to come, is told by connection_ended().
void Sidecar::settle_id(const OpenRequest& open) {
    if (!open.may_have_run) {
        request_ids_.release(open.id);
    } else if (!clients_.has_client(open.client)) {
        request_ids_.remember(open.id, clock_now());
    } else {
        request_ids_.answered(open.id, open.client);
    }
}

void Sidecar::connection_ended(ClientId client) {
    request_ids_.client_disconnected(client, clock_now());
}

// --- Endpoints

// Returns the client's statement with its time budget replaced by the time that is left.
std::string Sidecar::statement_for(RequestId request, Seconds stop_at) {
    const OpenRequest& open = *requests_.find(request);
    const auto left = static_cast<std::int64_t>((stop_at - clock_now()) * 1e3);
    const auto milliseconds = std::max<std::int64_t>(1, left);
    std::string text = open.statement;
    return text.replace(open.budget_offset, open.budget_size, std::to_string(milliseconds));
}

bool Sidecar::may_still_send(RequestId request, AttemptNumber number) {
    const bool may_send = policy_->may_still_send(decision_time(), request, number);
    counters_.recalled += may_send ? 0 : 1;
    return may_send;
}

bool Sidecar::client_waits(RequestId request) {
    const OpenRequest* open = requests_.find(request);
    const bool waits = open != nullptr && clients_.is_connected(open->client);
    counters_.withheld_after_close += waits ? 0 : 1;
    return waits;
}

// The process may be held up between the decision and the write. The bounds that the policy keeps
// allow for kMaxWriteDelay.
bool Sidecar::decision_is_recent() {
    const bool recent = clock_now() - decided_at_ <= kMaxWriteDelay;
    counters_.decided_again += recent ? 0 : 1;
    return recent;
}

// The process may be held up between the two readings of the clock.
void Sidecar::attempt_written() {
    const Seconds delay = clock_now() - decided_at_;
    counters_.written_late += delay > kSuspensionThreshold ? 1 : 0;
    counters_.max_send_delay = std::max(counters_.max_send_delay, delay);
}

void Sidecar::attempt_ended(RequestId request, AttemptNumber number, const EndpointId& endpoint,
                            Outcome outcome, Seconds took, const LoadReport& load,
                            std::string_view answer) {
    OpenRequest* open = requests_.find(request);
    if (!check_invariant(open != nullptr, "an attempt in flight has an open request")) {
        return;
    }
    --open->attempts_in_flight;
    ++counters_.outcomes[outcome];
    open->may_have_run = open->may_have_run || may_have_run(outcome);
    if (open->effect != Effect::idempotent) {
        effect_guard_->attempt_ended(request, number, outcome, answer);
    }
    if (outcome == Outcome::succeeded && !open->concluded) {
        open->concluded = true;
        clients_.answer(open->client, answer);
    }
    policy_->attempt_ended(decision_time(), request, number, endpoint, outcome, took,
                           open->concluded, load);
    forget_if_done(request);
}

void Sidecar::health_check_ended(const EndpointId& endpoint, Outcome outcome, Seconds took,
                                 const LoadReport& load) {
    policy_->health_check_ended(decision_time(), endpoint, outcome, took, load);
}

}  // namespace tideline::net
