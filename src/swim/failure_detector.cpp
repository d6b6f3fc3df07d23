#include "swim/failure_detector.hpp"

#include <algorithm>

namespace tideline::swim {
namespace {

using cluster::Entry;
using cluster::MemberState;
using cluster::Name;
using cluster::PingId;

// Members asked to ping the target on behalf of this one, so that one bad link of four does not
// count as a failure.
constexpr std::size_t kHelpers = 3;
// Highest local health score: a slow member waits up to nine times as long.
constexpr int kMaxHealth = 8;

}  // namespace

void FailureDetector::degrade_health(int steps) {
    health_ = std::clamp(health_ + steps, 0, kMaxHealth);
}

std::optional<Probe> FailureDetector::start_probe(Seconds now, Seconds answer_wait,
                                                  const MemberTable& table, RandomSource& random) {
    probe_.reset();
    const auto target = order_.next(random, [&](const Name& name) {
        const Entry* entry = table.find(name);
        return entry && cluster::is_reachable(*entry);
    });
    if (target) {
        probe_ = Probe{};
        probe_->target = *target;
        probe_->id = new_ping_id();
        probe_->direct_deadline = now + scaled_by_health(answer_wait);
    }
    return probe_;
}

std::vector<Name> FailureDetector::draw_present(const Name& except, const MemberTable& table,
                                                RandomSource& random) const {
    return order_.draw(kHelpers, random, [&](const Name& name) {
        const Entry* entry = table.find(name);
        return name != except && entry && entry->state == MemberState::present;
    });
}

std::vector<Name> FailureDetector::choose_helpers(const MemberTable& table, RandomSource& random) {
    probe_->indirect = true;
    std::vector<Name> helpers = draw_present(probe_->target, table, random);
    probe_->helpers = static_cast<int>(helpers.size());
    return helpers;
}

std::optional<Name> FailureDetector::conclude_probe() {
    if (!probe_) {
        return std::nullopt;
    }
    const Probe probe = *probe_;
    probe_.reset();
    if (probe.answered) {
        degrade_health(-1);
        return std::nullopt;
    }
    // To a slow member all others appear silent. Helpers that do not even report a missing answer
    // are a sign that this member itself is slow, so it waits longer from now on.
    degrade_health(probe.helpers > 0 ? probe.helpers - probe.no_answers : 1);
    return probe.target;
}

void FailureDetector::on_answer(const PingId& id) {
    if (probe_ && probe_->id == id) {
        probe_->answered = true;
    }
}

void FailureDetector::on_no_answer(const PingId& id) {
    if (probe_ && probe_->id == id) {
        ++probe_->no_answers;
    }
}

bool FailureDetector::on_connection_failed(Seconds now, const Name& name) {
    if (!direct_deadline() || probe_->target != name) {
        return false;
    }
    probe_->direct_deadline = now;
    return true;
}

std::optional<Seconds> FailureDetector::direct_deadline() const {
    if (!probe_ || probe_->answered || probe_->indirect) {
        return std::nullopt;
    }
    return probe_->direct_deadline;
}

}  // namespace tideline::swim
