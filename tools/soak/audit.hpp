// What clients and endpoints saw of one soak, and which rules that breaks. Nothing here asks the
// sidecar: its own counters can't confirm themselves.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "policy/types.hpp"

namespace tideline::soak {

// How a request ended, as its client saw it.
enum class Ending {
    open,             // nothing has come yet
    answered,         // at least one final answer
    closed_unread,    // the sidecar closed the connection before it had read the request
    closed_read,      // the sidecar had read the request, and closed without an answer
    client_gone,      // its client closed, or ended its sending, before an answer
    process_vanished  // its process was killed by the soak without a warning
};

struct SoakRequest {
    std::string id;
    std::string request_class;
    Seconds sent_at = 0;  // of its last byte
    Seconds time_limit = 0;
    Ending ending = Ending::open;
    int answers = 0;
    Seconds answered_at = 0;  // of the first
    std::optional<std::string> value;
    std::optional<Seconds> closed_at;  // by its client, on purpose
    Seconds ended_at = 0;              // when the client learned that the sidecar had closed
};
// A complete attempt at an endpoint.
struct SoakAttempt {
    Seconds at = 0;
    std::string id;
    std::string request_class;
    int endpoint = 0;
};
// An endpoint that discovery has listed as draining, until it was listed as ready again.
struct DrainSpan {
    int endpoint = 0;
    Seconds from = 0;
    Seconds to = 0;
};
// One process of the sidecar.
struct SidecarLife {
    Seconds started_at = 0;
    std::optional<Seconds> ready_at;  // it has answered a client's empty query
    std::optional<Seconds> term_at;   // the first SIGTERM
    bool killed = false;              // by the soak, without a warning
    bool overdue = false;             // still there at the earliest SIGKILL
    bool wrote_log = false;
    int exit_status = 0;
};
struct SoakRecord {
    std::vector<SoakRequest> requests;
    std::vector<SoakAttempt> attempts;
    std::vector<DrainSpan> drains;
    std::vector<SidecarLife> lives;
    Seconds drain_grace = 0;
};

// A line for each rule that was broken; empty if none was.
std::vector<std::string> violations_of(const SoakRecord& record);
// How many requests ended in each way.
std::string summary_of(const SoakRecord& record);

}  // namespace tideline::soak
