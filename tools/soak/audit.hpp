// Records what clients and endpoints observed during one soak and checks it against the rules. It
// does not use the sidecar's own counters, since a faulty sidecar could report wrong ones.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace tideline::soak {

// How a request ended, as its client saw it.
enum class RequestOutcome {
    open,           // no answer has arrived yet
    answered,       // at least one final answer
    closed_unread,  // the sidecar closed the connection before it had read the request
    closed_read,    // the sidecar had read the request, and closed without an answer
    client_gone,    // its client closed the connection, or its sending side, before an answer
    sidecar_killed  // the soak killed the sidecar's process with SIGKILL
};

struct SoakRequest {
    std::string id;
    std::string request_class;
    Seconds sent_at = 0;  // when its last byte was sent
    Seconds time_limit = 0;
    RequestOutcome outcome = RequestOutcome::open;
    int answers = 0;
    Seconds answered_at = 0;  // time of the first answer
    std::optional<std::string> value;
    std::optional<Seconds> closed_at;  // when its client closed the connection on purpose
    Seconds ended_at = 0;              // when the client learned that the sidecar had closed
};
// An attempt that has arrived completely at an endpoint.
struct SoakAttempt {
    Seconds at = 0;
    std::string id;
    std::string request_class;
    int endpoint = 0;
};
// The time from when discovery listed an endpoint as draining until it was listed as ready again.
struct DrainPeriod {
    int endpoint = 0;
    Seconds from = 0;
    Seconds to = 0;
};
// One process of the sidecar.
struct SidecarProcess {
    Seconds started_at = 0;
    std::optional<Seconds> ready_at;    // when it first answered a client
    std::optional<Seconds> sigterm_at;  // when the first SIGTERM was sent
    bool killed = false;                // the soak sent SIGKILL without a SIGTERM before
    bool overdue = false;               // still running at the earliest SIGKILL after SIGTERM
    bool wrote_log = false;
    int exit_status = 0;
};
struct SoakRecord {
    std::vector<SoakRequest> requests;
    std::vector<SoakAttempt> attempts;
    std::vector<DrainPeriod> drains;
    std::vector<SidecarProcess> processes;
    Seconds drain_grace = 0;  // how long a draining endpoint may still receive attempts
};

// Returns one line for each violation of a rule; empty if there was none.
std::vector<std::string> violations_of(const SoakRecord& record);
// Returns a line that says how many requests ended in each way.
std::string summary_of(const SoakRecord& record);

}  // namespace tideline::soak
