#include "cluster/wanted_alarms.hpp"

#include <algorithm>
#include <limits>

namespace tideline::cluster {
namespace {

constexpr Seconds kAnswerTimeout = 5;  // s, after which an answer is considered lost
constexpr Seconds kRetryDelay = 0.5;   // s, after a change that was not committed

}  // namespace

void WantedAlarms::want(const AlarmChange& change) {
    wanted_[{change.lease, change.key}].newest = change;
}

std::vector<AlarmChange> WantedAlarms::take_due(Seconds now) {
    std::vector<AlarmChange> due;
    for (auto& [alarm, wanted] : wanted_) {
        if (now < wanted.due_at) {
            continue;
        }
        wanted.sent = wanted.newest;
        wanted.under_way = true;
        wanted.due_at = now + kAnswerTimeout;
        due.push_back(wanted.sent);
    }
    return due;
}

void WantedAlarms::on_answer(Seconds now, const lease::LeaseName& lease, const std::string& key,
                             bool committed) {
    const auto found = wanted_.find({lease, key});
    if (found == wanted_.end() || !found->second.under_way) {
        return;
    }
    Wanted& wanted = found->second;
    wanted.under_way = false;
    wanted.due_at = committed ? now : now + kRetryDelay;
    if (committed && wanted.sent == wanted.newest) {
        wanted_.erase(found);
    }
}

void WantedAlarms::forget(const lease::LeaseName& lease) {
    std::erase_if(wanted_, [&](const auto& each) { return each.first.first == lease; });
}

Seconds WantedAlarms::due() const {
    Seconds next = std::numeric_limits<Seconds>::infinity();
    for (const auto& [alarm, wanted] : wanted_) {
        next = std::min(next, wanted.due_at);
    }
    return next;
}

}  // namespace tideline::cluster
