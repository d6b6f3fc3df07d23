#include "policy/exposure_cap.hpp"

#include <algorithm>

namespace tideline {
namespace {

// The allowance may exceed the share that the cap gives by at most this fraction of it. The
// allowances of hundreds of sidecars would add up to far more than the few endpoints on trial can
// serve.
constexpr double kMaxAllowanceFraction = 0.2;

}  // namespace

void ExposureCap::request_received(Seconds now, RequestClass request_class) {
    received_[counting_class(request_class)].add(now, settings_.release.exposure_window);
}

void ExposureCap::attempt_sent(Seconds now, RequestClass request_class, Build build) {
    if (is_on_trial(build)) {
        exposed_[{build, counting_class(request_class)}].add(now,
                                                             settings_.release.exposure_window);
    }
}

void ExposureCap::request_answered(const Request& request, Build build) {
    if (settings_.release.one_way_keys && request.key &&
        (is_on_trial(build) || release_.is_announced(build))) {
        answered_by_[*request.key] = build;
    }
}

void ExposureCap::release_updated() {
    const Phase phase = release_.status()->phase;
    if (phase == Phase::reverting || phase == Phase::withdrawn) {
        answered_by_.clear();
    }
}

ExposureDecision ExposureCap::decide(Seconds now, const Request& request, Build build) {
    if (key_answered_by_newer(request, build)) {
        return ExposureDecision::one_way_key;
    }
    if (!is_on_trial(build)) {
        return ExposureDecision::allowed;
    }
    const double cap = cap_of(build);
    if (cap <= 0) {
        return ExposureDecision::no_exposure;
    }
    const Effect effect = settings_.of(request.request_class).effect;
    if (release_.stage_of(build) < settings_.release.guarded_stages &&
        effect != Effect::idempotent) {
        return ExposureDecision::guarded_stage;
    }
    const bool is_below = is_below_cap(now, counting_class(request.request_class), build, cap);
    return is_below ? ExposureDecision::allowed : ExposureDecision::cap_reached;
}

// After a restart of this process it is unknown what was sent before, so the allowance is not used
// for one window.
bool ExposureCap::is_below_cap(Seconds now, RequestClass counted, Build build, double cap) {
    const Seconds window = settings_.release.exposure_window;
    const Seconds counted_from = std::max(now - window, release_.exposure_counted_from());
    const double share = cap * received_[counted].count_after(counted_from);
    const double sent = exposed_[{build, counted}].since(now - window);
    const double allowance = now - started_at_ > window ? settings_.release.allowance : 0;
    const double rounding = rounding_[counted].value(now, window, random_);
    return sent + 1 <= share + std::min(allowance, rounding + kMaxAllowanceFraction * share);
}

bool ExposureCap::is_on_trial(Build build) const {
    if (const auto& status = release_.status()) {
        return build > status->build ||
               (build == status->build && status->phase != Phase::released);
    }
    return endpoints_.lists_older_build_than(build);
}

bool ExposureCap::is_closed(Build build) const {
    return is_on_trial(build) && cap_of(build) <= 0;
}

bool ExposureCap::recalls(Build build, Seconds sent) const {
    return is_on_trial(build) &&
           (cap_of(build) <= 0 || release_.exposure_counted_from() > sent + settings_.drain_grace);
}

double ExposureCap::cap_of(Build build) const {
    return release_.cap_of(build, settings_.release.first_cap);
}

RequestClass ExposureCap::counting_class(RequestClass request_class) const {
    return settings_.release.cap_per_request_class ? request_class : RequestClass{0};
}

bool ExposureCap::key_answered_by_newer(const Request& request, Build build) const {
    if (!settings_.release.one_way_keys || !request.key) {
        return false;
    }
    const auto answered = answered_by_.find(*request.key);
    return answered != answered_by_.end() && build < answered->second;
}

}  // namespace tideline
