// The schedule of one soak: steps that are drawn from a seed, and the text that describes them.
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
    hup_then_term,     // SIGHUP and SIGTERM, without a pause between them
    term_then_hup,     // SIGTERM and SIGHUP, without a pause between them
    move_then_term,    // SIGHUP with a new address of discovery, SIGTERM `argument` s later
    early_term,        // a restart, then SIGTERM `argument` s after the start, then a start again
    stop_in_shutdown,  // SIGTERM and at once SIGSTOP, SIGCONT `argument` s later
    kill,              // SIGKILL without a SIGTERM before
    crowd,             // opens many connections at once, which the next steps find open
    hang,              // no endpoint answers during a SIGTERM and its shutdown
    mute,              // discovery sends no changes until the step after the next
    drain,             // an endpoint drains, is removed and is listed again under another id
};
struct Step {
    StepKind kind = StepKind::term;
    Seconds pause = 0;     // s before the step
    Seconds argument = 0;  // s; its meaning depends on the kind of the step
};

std::vector<Step> draw_schedule(std::uint32_t seed, int steps);
std::string text_of(const Step& step);

}  // namespace tideline::soak
