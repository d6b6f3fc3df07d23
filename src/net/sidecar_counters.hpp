// Counters of a sidecar since its start, for the log.
#pragma once

#include <map>
#include <string>

#include "policy/types.hpp"

namespace tideline::net {

struct SidecarCounters {
    std::map<Outcome, long> outcomes;  // outcomes of attempts
    long admitted = 0;
    long admitted_late = 0;  // admitted long after their arrival
    long rejected = 0;
    long rejected_for_memory = 0;  // of these, because open statements take up too much memory
    long failed = 0;
    long answered_late = 0;  // answered by the sidecar itself, after the deadline
    long abandoned = 0;      // the client disconnected before the answer
    long recalled = 0;       // attempts that were not sent because that was no longer allowed
    long retries = 0;
    long withheld_after_close = 0;  // attempts not written because their client had closed by then
    long decided_again = 0;         // attempts whose decision was too old to be written
    long written_late = 0;          // attempts written late after the decision to send them
    Seconds max_send_delay = 0;  // longest time from the decision to send an attempt to its write
    long lists = 0;
    long watches_lost = 0;
};

// Attempts by outcome, as the log fields "succeeded=3 failed=0 ...".
std::string text_of_outcomes(const SidecarCounters& counters);
// Resources used by the process so far, as the log fields "memory_peak_mb=9 cpu_s=1.2".
std::string text_of_resource_usage();

}  // namespace tideline::net
