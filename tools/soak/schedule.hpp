// What happens to the sidecar in one soak: steps drawn from a seed, one a line.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace tideline::soak {

enum class StepKind {
    term,              // SIGTERM; the process is started again once it has ended
    term_twice,        // a second SIGTERM `argument` s later
    hup_series,        // SIGHUP three times, `argument` s apart
    hup_then_term,     // both at once
    term_then_hup,     // both at once
    move_then_term,    // discovery moves with SIGHUP, SIGTERM `argument` s later
    early_term,        // SIGTERM `argument` s after the next start, then a start again
    stop_in_shutdown,  // SIGTERM, SIGSTOP at once, SIGCONT `argument` s later
    kill,              // SIGKILL without a warning
    crowd,             // many connections at once, for the next steps
    hang,              // all endpoints hang for the next shutdown
    mute,              // discovery is silent until the step after the next
    drain,             // an endpoint drains, leaves and comes back under another id
};
struct Step {
    StepKind kind = StepKind::term;
    Seconds pause = 0;     // s before it
    Seconds argument = 0;  // s
};

std::vector<Step> draw_schedule(std::uint32_t seed, int steps);
std::string text_of(const Step& step);

}  // namespace tideline::soak
