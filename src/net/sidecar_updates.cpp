// Updates from discovery, the release platform and the cluster, and the sidecar's periodic report
// in the log.
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "net/check_invariant.hpp"
#include "net/limits.hpp"
#include "net/sidecar.hpp"

namespace tideline::net {
namespace {

// Number of descriptors that the process holds but the event loop does not watch.
constexpr std::size_t kUnwatchedDescriptors = 4;

}  // namespace

// --- Discovery

void Sidecar::endpoint_list_received(EndpointListKind kind,
                                     const std::vector<EndpointInfo>& endpoints,
                                     const std::vector<Address>& addresses) {
    ++counters_.lists;
    if (observer_) {
        observer_->endpoint_list_applied(discovery_.revision(), kind, endpoints, addresses);
    }
    endpoints_.apply_list(kind, endpoints, addresses);
    policy_->endpoints_updated(decision_time(), kind, endpoints);
    endpoints_.review_waiting_exchanges();
    if (has_endpoints_ || endpoints.empty()) {
        return;
    }
    has_endpoints_ = true;
    clients_.resume_waiting_clients();
}

void Sidecar::endpoint_list_confirmed(Seconds as_of) {
    policy_->endpoint_list_confirmed(decision_time(), as_of);
    if (!std::exchange(list_confirmed_, true)) {
        clients_.resume_waiting_clients();
    }
}

void Sidecar::endpoint_list_unreadable(Seconds since) {
    policy_->endpoint_list_unreadable(decision_time(), since);
}

void Sidecar::discovery_moved(Seconds since) {
    policy_->discovery_moved(decision_time(), since);
}

void Sidecar::watch_lost(Seconds since, WatchLoss loss, const std::string& details) {
    ++counters_.watches_lost;
    log_.line("endpoint list watch lost: {}", details);
    policy_->watch_lost(decision_time(), since, loss);
}

void Sidecar::watch_restored(const std::string& details) {
    log_.line("endpoint list watch restored: {}", details);
}

bool Sidecar::accepts_revision(std::int64_t revision) {
    return observer_ == nullptr || observer_->accepts_revision(revision);
}

// --- Release platform

void Sidecar::stage_announced(Build build, Stage stage, Phase phase, double cap, Seconds age) {
    if (observer_ && !observer_->release_status_received(build, stage, phase, cap, age)) {
        return;
    }
    policy_->stage_announced(decision_time(), build, stage, phase, cap, age);
    endpoints_.review_waiting_exchanges();
}

void Sidecar::answer_flagged(const std::string& request_class, const EndpointId& endpoint,
                             Seconds sent_ago) {
    const auto found = request_classes_.find(request_class);
    if (found != request_classes_.end()) {
        policy_->answer_flagged(decision_time(), found->second, endpoint, sent_ago);
    }
}

void Sidecar::vote_answered(VoteReply reply) {
    policy_->vote_answered(decision_time(), reply);
}

void Sidecar::platform_event(const std::string& event) {
    log_.line("platform {}", event);
}

// --- Cluster

void Sidecar::apply_endpoint_list(std::int64_t revision, const std::vector<EndpointInfo>& endpoints,
                                  const std::vector<Address>& addresses) {
    discovery_.advance_revision(revision);
    endpoint_list_received(EndpointListKind::complete, endpoints, addresses);
    endpoint_list_confirmed(loop_.arrived_after());
}

void Sidecar::apply_stage(Build build, Stage stage, Phase phase, double cap, Seconds age) {
    stage_announced(build, stage, phase, cap, age);
}

void Sidecar::set_trial_participation(TrialParticipation participation) {
    policy_->trial_participation_set(decision_time(), participation);
    endpoints_.review_waiting_exchanges();
}

void Sidecar::set_slow_start_limit(const EndpointId& endpoint, double max_attempts, Seconds valid) {
    policy_->slow_start_limit_set(decision_time(), endpoint, max_attempts, valid);
}

// --- Report

void Sidecar::report_periodically() {
    report_timer_ = loop_.timers.at(clock_now() + kReportInterval, [this] {
        report();
        report_periodically();
    });
}

void Sidecar::report() {
    log_.line(
        "request counters: admitted={} admitted_late={} open={} open_peak={} rejected={} failed={} "
        "answered_late={} abandoned={} rejected_for_memory={} statement_bytes={} "
        "ids_remembered={}",
        counters_.admitted, counters_.admitted_late, requests_.size(), requests_.peak(),
        counters_.rejected, counters_.failed, counters_.answered_late, counters_.abandoned,
        counters_.rejected_for_memory, requests_.statement_bytes(),
        request_ids_.remembered_count());
    log_.line(
        "attempt counters: {} recalled={} retries={} withheld_after_close={} "
        "decided_again={} written_late={} send_delay_max_ms={:.1f}",
        text_of_outcomes(counters_), counters_.recalled, counters_.retries,
        counters_.withheld_after_close, counters_.decided_again, counters_.written_late,
        counters_.max_send_delay * 1e3);
    log_.line("connection counters: {} {} lists={} watches_lost={}", clients_.report(),
              endpoints_.report(), counters_.lists, counters_.watches_lost);
    log_.line("resource usage: descriptors={} descriptors_peak={} {}",
              loop_.watched_count() + kUnwatchedDescriptors,
              loop_.peak_watched_count() + kUnwatchedDescriptors, text_of_resource_usage());
    std::string reasons;
    for (int i = 0; i < kRejectionReasonCount; ++i) {
        const long rejections = policy_->rejections(static_cast<RejectionReason>(i));
        reasons += fmt::format(" {}={}", kRejectionReasonNames[i], rejections);
    }
    log_.line("rejections by reason:{}", reasons);
    for (const auto& [invariant, times] : broken_invariants()) {
        log_.line("invariant broken: times={} invariant=\"{}\"", times, invariant);
    }
}

}  // namespace tideline::net
