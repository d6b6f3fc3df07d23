#include "policy/load_shedder.hpp"

#include <algorithm>

namespace tideline {
namespace {

constexpr double kSmallDecreaseFactor = 0.8;  // after a rejection or a slightly late answer
constexpr double kMinDecreaseFactor = 0.5;    // after a very late answer
constexpr double kShareIncrease = 0.2;        // after an answer in time
constexpr double kMinSentShare = 0.1;         // so that the end of an overload is noticed
// The median relative response time above which the endpoints count as congested.
constexpr double kCongestedRelativeTime = 2.5;

}  // namespace

void LoadShedder::attempt_ended(Outcome outcome, Seconds since_received, Seconds slo_time,
                                double relative_time) {
    if (outcome == Outcome::overloaded) {
        sent_share_ *= kSmallDecreaseFactor;
    }
    if (outcome != Outcome::succeeded && outcome != Outcome::timed_out) {
        return;
    }
    const bool in_time = outcome == Outcome::succeeded && since_received <= slo_time;
    if (!in_time && relative_time > kCongestedRelativeTime) {
        sent_share_ *=
            std::clamp(slo_time / since_received, kMinDecreaseFactor, kSmallDecreaseFactor);
    }
    const double increase = in_time ? kShareIncrease : 0;
    sent_share_ = std::clamp(sent_share_ + increase, kMinSentShare, 1.0);
}

}  // namespace tideline
