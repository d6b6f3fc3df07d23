#include "policy/load_shedder.hpp"

#include <algorithm>

namespace tideline {
namespace {

constexpr double kSmallDecreaseFactor = 0.8;    // factor after a rejection or an answer just late
constexpr double kMinDecreaseFactor = 0.5;      // factor after an answer that was very late
constexpr double kShareIncrease = 0.2;          // added by an answer in time
constexpr double kMinSentShare = 0.1;           // so that the end of a jam still shows
constexpr double kCongestedRelativeTime = 2.5;  // half of the answers take this multiple: a jam

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
