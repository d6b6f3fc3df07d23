// Types shared by the routing policy and its hosts: a distinct type for each kind of id, and the
// enumerations.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <variant>

namespace tideline {

// A value that can't be mixed up with an id of another kind.
template <class Tag, class Value>
struct Id {
    Value value{};
    auto operator<=>(const Id&) const = default;
};

using RequestId = Id<struct RequestTag, std::uint64_t>;  // unique within one sidecar
using EndpointId = Id<struct EndpointTag, std::string>;  // address:port, the same at every sidecar
using RequestClass = Id<struct RequestClassTag, int>;    // index into the settings' request classes
using TenantId = Id<struct TenantTag, int>;              // index into the settings' tenants
using Location = Id<struct LocationTag, int>;            // index into the settings' locations
using Cell = Id<struct CellTag, int>;    // endpoints that share their request fingerprints
using Build = Id<struct BuildTag, int>;  // a later build has a higher number
using Stage = Id<struct StageTag, int>;  // stage of a release, counted from 0
using ObjectKey = Id<struct KeyTag, std::uint64_t>;  // key of the object that a request concerns
using TimerId = Id<struct TimerTag, std::uint64_t>;  // chosen by the code that sets the timer
using AttemptNumber = Id<struct AttemptTag, int>;    // counted from 0 within a request

using Seconds = double;

// The time of an event that has not happened; earlier than any other time.
constexpr Seconds kNever = -std::numeric_limits<double>::infinity();

// How an attempt ended. An overloaded endpoint rejects an attempt without running it.
enum class Outcome {
    succeeded,
    failed,
    overloaded,
    timed_out,
    unreachable,
    broken,
    malformed,
    cancelled,
    never_sent
};
// Returns whether the endpoint may have started to run an attempt that ended with this outcome.
constexpr bool may_have_run(Outcome outcome) {
    return outcome != Outcome::overloaded && outcome != Outcome::unreachable &&
           outcome != Outcome::never_sent;
}
enum class EndpointState { ready, draining, removed };
// Which endpoints a list holds: those that changed, all of them, or all as cached at an unknown
// time.
enum class EndpointListKind { changes, complete, cached };
// Why the watch on the endpoint list was lost: it ended or a call failed; no message arrived in
// time; a message could not be parsed; a call did not reach the discovery service.
enum class WatchLoss { ended, silent, unreadable, unreachable };
enum class Phase { trial, reverting, released, withdrawn };
// A sidecar's vote on the build on trial: none (takes an earlier vote back), on (advance to the
// next stage), hold (stay in the stage), back (withdraw the build).
enum class Vote { none, on, hold, back };
enum class VoteReply { counted, ignored, full, failed, timed_out };

// How far this sidecar may take part in a trial. The version audit of the cluster can restrict it.
enum class TrialParticipation { open, first_stage, no_trial };

// Settings by name; times in seconds, booleans as 1 and 0.
using Setting = std::variant<double, std::string>;
using Settings = std::map<std::string, Setting>;

// The load that an endpoint reports: values by name, as received.
using LoadReport = std::map<std::string, double>;

// One entry of the endpoint list.
struct EndpointInfo {
    EndpointId id;
    EndpointState state = EndpointState::ready;
    Location location;
    Cell cell;
    int kind = 0;
    double weight = 1;
    Build build;
    Seconds started = 0;  // 0 if the endpoint started long ago
};

}  // namespace tideline
