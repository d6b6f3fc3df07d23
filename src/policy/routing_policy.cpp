#include "policy/routing_policy.hpp"

#include "policy/policy_modules.hpp"
#include "policy/request_router.hpp"

namespace tideline {
namespace {

// The interval of ticks while no request waits, for votes and the judge. Jitter shortens each
// interval by up to half.
constexpr Seconds kIdleTickInterval = 0.25;
constexpr double kMinIdleTickJitterFactor = 0.5;

}  // namespace

// The modules of the policy, and the work done at each tick.
struct RoutingPolicy::PolicyState {
    PolicyState(Host& host, const Settings& settings, std::uint64_t seed, Seconds now)
        : modules(host, settings, seed, now) {
        modules.timer.fire_within(now, kIdleTickInterval);
        if (modules.settings.is_list_pushed) {
            return;
        }
        modules.discovery.process_started(now);
        open_watch_if_due(now);
    }

    void tick(Seconds now) {
        open_watch_if_due(now);
        log_list_validity(now);
        recover_endpoints(now);
        router.serve_queue(now);
        judge_release(now);
        cast_vote(now);
        modules.timer.restart(
            now, router.queue_empty()
                     ? kIdleTickInterval * modules.random.uniform(kMinIdleTickJitterFactor, 1)
                     : kTickInterval);
    }
    void open_watch_if_due(Seconds now) {
        if (modules.discovery.take_watch_due(now)) {
            modules.host.watch_endpoint_list();
        }
    }
    void log_list_validity(Seconds now) {
        switch (modules.discovery.check_validity(now)) {
            case ListValidityChange::none:
                return;
            case ListValidityChange::expired:
                return modules.host.log_event(
                    "endpoint list expired: no new attempts until it is confirmed");
            case ListValidityChange::valid_again:
                return modules.host.log_event("endpoint list valid again");
        }
    }
    void recover_endpoints(Seconds now) {
        for (auto& [id, endpoint] : modules.endpoints) {
            if (!modules.balancer.is_known_ready(now, endpoint)) {
                continue;
            }
            const RecoveryStep step =
                endpoint.health.next_recovery_step(now, modules.settings.health_checks_allowed);
            if (step == RecoveryStep::send_health_check) {
                modules.host.send_health_check(id);
            }
        }
    }
    void judge_release(Seconds now) {
        for (const ChargeMark& mark : modules.judge.tick(now)) {
            modules.host.build_marked(mark.build, mark.stage);
            modules.host.log_event(mark.text());
        }
    }
    void cast_vote(Seconds now) {
        const auto ballot = modules.ballots.next_ballot(now);
        if (!ballot) {
            return;
        }
        if (ballot->is_first_back_vote) {
            modules.host.log_event("back vote cast: build=" + std::to_string(ballot->build.value) +
                                   " stage=" + std::to_string(ballot->stage.value));
        }
        modules.host.vote(ballot->build, ballot->stage, ballot->vote);
    }

    PolicyModules modules;
    RequestRouter router{modules};
};

RoutingPolicy::RoutingPolicy(Host& host, const Settings& settings, std::uint64_t seed, Seconds now)
    : state_(std::make_unique<PolicyState>(host, settings, seed, now)) {}
RoutingPolicy::~RoutingPolicy() = default;

RoutingPolicy::PolicyState& RoutingPolicy::at(Seconds now) {
    state_->modules.pauses.record_event(now);
    return *state_;
}

void RoutingPolicy::endpoints_updated(Seconds now, EndpointListKind kind,
                                      const std::vector<EndpointInfo>& endpoints) {
    PolicyState& state = at(now);
    state.modules.endpoints.update(now, kind, endpoints);
    state.modules.discovery.list_read(kind);
    state.router.serve_queue(now);
}

void RoutingPolicy::endpoint_list_confirmed(Seconds now, Seconds as_of) {
    at(now).modules.discovery.confirmed(as_of);
}

void RoutingPolicy::endpoint_list_unreadable(Seconds now, Seconds since) {
    at(now).modules.discovery.change_unreadable(since);
}

void RoutingPolicy::discovery_moved(Seconds now, Seconds since) {
    at(now).modules.discovery.service_moved(since);
}

void RoutingPolicy::watch_lost(Seconds now, Seconds since, WatchLoss loss) {
    at(now).modules.discovery.watch_lost(now, since, loss);
}

void RoutingPolicy::request_arrived(Seconds now, RequestId request, RequestClass request_class,
                                    TenantId tenant, std::optional<ObjectKey> key, Seconds budget,
                                    std::optional<Seconds>) {
    at(now).router.request_arrived(now, {request, request_class, tenant, key, budget, {}});
}

void RoutingPolicy::request_handed_over(Seconds now, RequestId request, RequestClass request_class,
                                        TenantId tenant, std::optional<ObjectKey> key,
                                        Seconds budget, const std::vector<Attempt>& earlier) {
    at(now).router.request_handed_over(now, {request, request_class, tenant, key, budget, earlier});
}

void RoutingPolicy::stream_started(Seconds now, RequestId request, AttemptNumber number) {
    at(now).router.stream_started(now, request, number);
}

void RoutingPolicy::attempt_ended(Seconds now, RequestId request, AttemptNumber number,
                                  const EndpointId& endpoint, Outcome outcome, Seconds took,
                                  bool concluded, const LoadReport&) {
    at(now).router.attempt_ended(now, {request, number, endpoint, outcome, took, concluded});
}

bool RoutingPolicy::may_still_send(Seconds now, RequestId request, AttemptNumber number) {
    return at(now).router.may_still_send(now, request, number);
}

void RoutingPolicy::request_abandoned(Seconds now, RequestId request) {
    at(now).router.request_abandoned(request);
}

void RoutingPolicy::health_check_ended(Seconds now, const EndpointId& id, Outcome outcome, Seconds,
                                       const LoadReport&) {
    PolicyState& state = at(now);
    Endpoint* endpoint = state.modules.endpoints.find(id);
    if (!endpoint || !endpoint->health.awaits_health_check()) {
        return;
    }
    if (outcome == Outcome::succeeded) {
        endpoint->health.health_check_succeeded();
    } else {
        state.router.eject(now, *endpoint, EjectionReason::health_check_failed);
    }
}

// The endpoint may have restarted with another build since it gave the flagged answer. Such a flag
// is no evidence on the present build.
void RoutingPolicy::answer_flagged(Seconds now, RequestClass, const EndpointId& id,
                                   Seconds sent_ago) {
    PolicyState& state = at(now);
    const Endpoint* endpoint = state.modules.endpoints.find(id);
    if (endpoint && now - sent_ago > endpoint->info.started) {
        state.modules.judge.answer_flagged(id, endpoint->info.build);
    }
}

void RoutingPolicy::tally_received(Seconds now, Build build, RequestClass request_class, int count,
                                   int failed, Seconds) {
    at(now).modules.judge.tally_received(build, request_class,
                                         {static_cast<double>(count), static_cast<double>(failed)});
}

void RoutingPolicy::stage_announced(Seconds now, Build build, Stage stage, Phase phase, double cap,
                                    Seconds age) {
    PolicyState& state = at(now);
    state.modules.release.update({build, stage, phase, cap, now - age}, now,
                                 state.modules.settings.drain_grace);
    state.modules.exposure.release_updated();
    state.modules.judge.release_updated(now);
    state.router.serve_queue(now);
}

void RoutingPolicy::vote_answered(Seconds now, VoteReply reply) {
    at(now).modules.ballots.vote_answered(now, reply);
}

void RoutingPolicy::trial_participation_set(Seconds now, TrialParticipation participation) {
    PolicyState& state = at(now);
    state.modules.release.restrict_to(participation, now, state.modules.settings.drain_grace);
    state.router.serve_queue(now);
}

void RoutingPolicy::slow_start_limit_set(Seconds now, const EndpointId& id, double max_attempts,
                                         Seconds valid_for) {
    PolicyState& state = at(now);
    Endpoint* endpoint = state.modules.endpoints.find(id);
    if (!endpoint) {
        return;
    }
    endpoint->slow_start.grant(max_attempts, now + valid_for);
    state.router.serve_queue(now);
}

void RoutingPolicy::timer_fired(Seconds now, TimerId timer) {
    PolicyState& state = at(now);
    if (state.modules.timer.is_tick(now, timer)) {
        state.tick(now);
    }
}

long RoutingPolicy::rejections(RejectionReason reason) const {
    return state_->router.rejections(reason);
}

}  // namespace tideline
