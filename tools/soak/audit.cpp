#include "soak/audit.hpp"

#include <fmt/format.h>

#include <array>
#include <map>
#include <set>

namespace tideline::soak {
namespace {

// s: the protocol allows answers until this long after the time limit; such a late answer only has
// no value.
constexpr Seconds kLateAnswer = 0.5;
// s: the protocol allows attempts to begin until this long after their client closed its
// connection.
constexpr Seconds kAttemptAfterClose = 0.1;
constexpr Seconds kReadyWithin = 10;
// s: how long a process may be suspended between reading its clock and writing.
constexpr Seconds kHeldUp = 0.15;
constexpr int kExitBySigterm = 128 + 15;

void check_request(const SoakRequest& request, std::vector<std::string>& violations) {
    const std::string name = fmt::format("{} {}", request.request_class, request.id);
    if (request.answers > 1) {
        violations.push_back(fmt::format("{}: {} final answers", name, request.answers));
    }
    if (request.value && *request.value != "value of " + request.id) {
        violations.push_back(fmt::format("{}: wrong answer '{}'", name, *request.value));
    }
    if (request.ending == Ending::closed_read) {
        violations.push_back(
            fmt::format("{}: read, and closed without an answer; sent at {:.3f}, closed at {:.3f}",
                        name, request.sent_at, request.ended_at));
    }
    if (request.ending == Ending::open) {
        violations.push_back(name + ": never answered");
    }
    const Seconds took = request.answered_at - request.sent_at;
    if (request.ending == Ending::answered && took > request.time_limit + kLateAnswer + kHeldUp) {
        violations.push_back(
            fmt::format("{}: answered after {:.2f} s of {:.2f} s", name, took, request.time_limit));
    }
}

void check_attempts(const SoakRecord& record, std::vector<std::string>& violations) {
    std::map<std::string, Seconds> closed_at;
    for (const SoakRequest& request : record.requests) {
        if (request.closed_at) {
            closed_at[request.id] = *request.closed_at;
        }
    }
    std::set<std::string> unread;
    for (const SoakRequest& request : record.requests) {
        if (request.ending == Ending::closed_unread) {
            unread.insert(request.id);
        }
    }
    std::map<std::string, int> charges;
    for (const SoakAttempt& attempt : record.attempts) {
        if (attempt.request_class == "charge" && ++charges[attempt.id] == 2) {
            violations.push_back(fmt::format("charge {}: ran twice", attempt.id));
        }
        if (unread.erase(attempt.id) > 0) {
            violations.push_back(fmt::format("{} {}: attempted, and closed without an answer",
                                             attempt.request_class, attempt.id));
        }
        const auto closed = closed_at.find(attempt.id);
        if (closed != closed_at.end() &&
            attempt.at > closed->second + kAttemptAfterClose + kHeldUp) {
            violations.push_back(fmt::format("{} {}: attempted {:.2f} s after its client's close",
                                             attempt.request_class, attempt.id,
                                             attempt.at - closed->second));
        }
        for (const DrainSpan& drain : record.drains) {
            if (attempt.endpoint == drain.endpoint && attempt.at < drain.to &&
                attempt.at > drain.from + record.drain_grace) {
                violations.push_back(fmt::format(
                    "{} {}: sent to a draining endpoint {:.2f} s after discovery listed it so",
                    attempt.request_class, attempt.id, attempt.at - drain.from));
            }
        }
    }
}

void check_life(const SidecarLife& life, std::vector<std::string>& violations) {
    if (life.ready_at && *life.ready_at > life.started_at + kReadyWithin) {
        violations.push_back(
            fmt::format("ready {:.1f} s after its start", *life.ready_at - life.started_at));
    }
    if (life.overdue) {
        violations.push_back("still running at the earliest SIGKILL after SIGTERM");
    }
    // Until it writes its first log line the program has not set up its signal handling, so SIGTERM
    // ends it.
    const bool ended_before_begun = life.exit_status == kExitBySigterm && !life.wrote_log;
    if (!life.killed && !life.overdue && life.exit_status != 0 && !ended_before_begun) {
        violations.push_back(fmt::format("ended with status {}", life.exit_status));
    }
}

}  // namespace

std::vector<std::string> violations_of(const SoakRecord& record) {
    std::vector<std::string> violations;
    for (const SoakRequest& request : record.requests) {
        check_request(request, violations);
    }
    check_attempts(record, violations);
    for (const SidecarLife& life : record.lives) {
        check_life(life, violations);
    }
    return violations;
}

std::string summary_of(const SoakRecord& record) {
    constexpr std::array<const char*, 6> kNames = {"open",        "answered",    "closed unread",
                                                   "closed read", "client gone", "process killed"};
    std::array<int, kNames.size()> counts{};
    for (const SoakRequest& request : record.requests) {
        ++counts[static_cast<std::size_t>(request.ending)];
    }
    std::string text = fmt::format("{} requests, {} attempts, {} starts:", record.requests.size(),
                                   record.attempts.size(), record.lives.size());
    for (std::size_t i = 0; i < kNames.size(); ++i) {
        text += counts[i] > 0 ? fmt::format(" {} {}", counts[i], kNames[i]) : "";
    }
    return text;
}

}  // namespace tideline::soak
