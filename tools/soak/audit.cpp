#include "soak/audit.hpp"

#include <fmt/format.h>

#include <array>
#include <map>
#include <set>

namespace tideline::soak {
namespace {

// s: the protocol allows answers until this long after the time limit; such a late answer only has
// no value.
constexpr Seconds kMaxAnswerDelay = 0.5;
// s: the protocol allows attempts to begin until this long after their client closed its
// connection.
constexpr Seconds kMaxAttemptDelayAfterClose = 0.1;
constexpr Seconds kReadyTimeout = 10;
// s: how long a process may be suspended between reading its clock and writing.
constexpr Seconds kMaxSuspension = 0.15;
constexpr int kExitBySigterm = 128 + 15;

void check_request(const SoakRequest& request, std::vector<std::string>& violations) {
    const std::string name = fmt::format("{} {}", request.request_class, request.id);
    if (request.answers > 1) {
        violations.push_back(fmt::format("{}: {} final answers", name, request.answers));
    }
    if (request.value && *request.value != "value of " + request.id) {
        violations.push_back(fmt::format("{}: wrong answer '{}'", name, *request.value));
    }
    if (request.outcome == RequestOutcome::closed_read) {
        violations.push_back(
            fmt::format("{}: read, and closed without an answer; sent at {:.3f}, closed at {:.3f}",
                        name, request.sent_at, request.ended_at));
    }
    if (request.outcome == RequestOutcome::open) {
        violations.push_back(name + ": never answered");
    }
    const Seconds latency = request.answered_at - request.sent_at;
    if (request.outcome == RequestOutcome::answered &&
        latency > request.time_limit + kMaxAnswerDelay + kMaxSuspension) {
        violations.push_back(fmt::format("{}: answered after {:.2f} s of {:.2f} s", name, latency,
                                         request.time_limit));
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
        if (request.outcome == RequestOutcome::closed_unread) {
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
            attempt.at > closed->second + kMaxAttemptDelayAfterClose + kMaxSuspension) {
            violations.push_back(fmt::format("{} {}: attempted {:.2f} s after its client's close",
                                             attempt.request_class, attempt.id,
                                             attempt.at - closed->second));
        }
        for (const DrainPeriod& drain : record.drains) {
            if (attempt.endpoint == drain.endpoint && attempt.at < drain.to &&
                attempt.at > drain.from + record.drain_grace) {
                violations.push_back(fmt::format(
                    "{} {}: sent to a draining endpoint {:.2f} s after discovery listed it so",
                    attempt.request_class, attempt.id, attempt.at - drain.from));
            }
        }
    }
}

void check_process(const SidecarProcess& process, std::vector<std::string>& violations) {
    if (process.ready_at && *process.ready_at > process.started_at + kReadyTimeout) {
        violations.push_back(
            fmt::format("ready {:.1f} s after its start", *process.ready_at - process.started_at));
    }
    if (process.overdue) {
        violations.push_back("still running at the earliest SIGKILL after SIGTERM");
    }
    // Until it writes its first log line the program has not set up its signal handling, so SIGTERM
    // ends it.
    const bool ended_before_first_line =
        process.exit_status == kExitBySigterm && !process.wrote_log;
    if (!process.killed && !process.overdue && process.exit_status != 0 &&
        !ended_before_first_line) {
        violations.push_back(fmt::format("ended with status {}", process.exit_status));
    }
}

}  // namespace

std::vector<std::string> violations_of(const SoakRecord& record) {
    std::vector<std::string> violations;
    for (const SoakRequest& request : record.requests) {
        check_request(request, violations);
    }
    check_attempts(record, violations);
    for (const SidecarProcess& process : record.processes) {
        check_process(process, violations);
    }
    return violations;
}

std::string summary_of(const SoakRecord& record) {
    constexpr std::array<const char*, 6> kNames = {"open",        "answered",    "closed unread",
                                                   "closed read", "client gone", "process killed"};
    std::array<int, kNames.size()> counts{};
    for (const SoakRequest& request : record.requests) {
        ++counts[static_cast<std::size_t>(request.outcome)];
    }
    std::string text = fmt::format("{} requests, {} attempts, {} starts:", record.requests.size(),
                                   record.attempts.size(), record.processes.size());
    for (std::size_t i = 0; i < kNames.size(); ++i) {
        text += counts[i] > 0 ? fmt::format(" {} {}", counts[i], kNames[i]) : "";
    }
    return text;
}

}  // namespace tideline::soak
