#include "fault_tests/check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

#include "fault_tests/violations.hpp"

namespace tideline::fault_tests {
namespace {

using namespace fakes;

// Tolerances of the checks. Each covers the time between an event and its entry in the record.
// After SIGTERM a sidecar still accepts requests for this time.
constexpr Seconds kShutdownGrace = 0.6;
// An attempt that was in flight when its sidecar changed its participation arrives within this
// time.
constexpr Seconds kInFlightTolerance = 0.15;
// The window over which exposure is counted; the same value as in the sidecars' settings.
constexpr Seconds kExposureWindow = 2;
// The drain grace period plus the time until all sidecars know of a lower cap.
constexpr Seconds kCapUpdateDelay = 0.8;
// Dispatches beyond the cap that the sidecars' settings allow.
constexpr double kExposureAllowance = 2;
// Messages that were in flight when a link was cut are processed within this time.
constexpr Seconds kCutEffectDelay = 0.5;

// Whether the member's process ran at some time between `from` and `to`.
bool was_up_at_some_time(const SidecarCluster::Member& member, Seconds from, Seconds to) {
    return std::any_of(
        member.up_intervals.begin(), member.up_intervals.end(),
        [&](const Interval& interval) { return interval.from < to && interval.to > from; });
}
// Whether both directions between two members were cut from `from` to `to`.
bool was_cut_throughout(const SidecarCluster& cluster, int a, int b, Seconds from, Seconds to) {
    const auto is_link_cut = [&](int x, int y) {
        const auto it = cluster.cuts.find({x, y});
        return it != cluster.cuts.end() &&
               std::any_of(it->second.begin(), it->second.end(), [&](const Interval& interval) {
                   return interval.from + kCutEffectDelay <= from && interval.to >= to;
               });
    };
    return is_link_cut(a, b) && is_link_cut(b, a);
}

}  // namespace

std::vector<TrialParticipation> trial_participation_of(const SidecarCluster& cluster, int member) {
    std::vector<TrialParticipation> participation;
    std::istringstream log_lines(cluster.log_of(member));
    for (std::string line; std::getline(log_lines, line);) {
        const std::string event = "trial participation changed: value='";
        const auto at = line.find(event);
        if (at == std::string::npos) {
            // A restarted member takes part in the trial until its log says otherwise.
            if (line.find(" cluster member started: ") != std::string::npos) {
                participation.push_back({std::stod(line), "open"});
            }
            continue;
        }
        const auto end = line.find('\'', at + event.size());
        participation.push_back(
            {std::stod(line), line.substr(at + event.size(), end - at - event.size())});
    }
    return participation;
}

namespace {

// Each request gets exactly one answer, within its time limit, if its sidecar was up throughout.
void check_answers(const SidecarCluster& cluster, Violations& violations) {
    const int count = cluster.options.members;
    for (int i = 1; i <= count; ++i) {
        const SidecarCluster::Member& member = cluster.members[static_cast<std::size_t>(i)];
        for (const ClientRequest& each : member.clients->requests) {
            if (each.answers > 1) {
                violations.add(fmt::format("n{}: {} answers to one request", i, each.answers));
            }
            if (each.result == CallResult::wrong) {
                violations.add(fmt::format("n{}: an answer with the value of another request", i));
            }
            const Seconds end = each.sent_at + each.time_limit + 0.1;
            if (!cluster.serving_interval(i, each.sent_at, end + kShutdownGrace) ||
                end > net::clock_now()) {
                continue;
            }
            if (each.answers == 0) {
                violations.add(fmt::format("n{}: no answer to the request sent at {:.3f}", i,
                                           each.sent_at - cluster.start));
            } else if (each.latency > each.time_limit + 0.1) {
                violations.add(fmt::format(
                    "n{}: an answer came after {:.3f} s, beyond its time limit", i, each.latency));
            }
        }
    }
}

// The times of dispatches to the trial build, sorted, by the member that sent them.
using TrialDispatches = std::map<int, std::vector<Seconds>>;

// No charge takes effect twice. Returns the dispatches that reached the trial build.
TrialDispatches check_effects(const SidecarCluster& cluster, Violations& violations) {
    std::map<std::string, int> charges;
    TrialDispatches trial;
    for (const auto& endpoint : cluster.endpoints) {
        for (const ReceivedRequest& received : endpoint->received) {
            if (received.request_class == "charge" && ++charges[received.request_id] == 2) {
                violations.add("charge " + received.request_id + " took effect twice");
            }
            if (endpoint->build == kTrialBuild) {
                trial[std::stoi(received.tenant.substr(1))].push_back(received.at);
            }
        }
    }
    for (auto& [member, times] : trial) {
        std::sort(times.begin(), times.end());
    }
    return trial;
}

// The time at which the build was released; from then on it is not on trial.
Seconds release_time(const SidecarCluster& cluster) {
    for (const auto& [at, cap] : cluster.caps) {
        if (cap > 1) {
            return at;
        }
    }
    return kFarFuture;
}

// A member that does not take part in the trial sends no requests to the trial build.
void check_participation(const SidecarCluster& cluster, int i, const std::vector<Seconds>& times,
                         Violations& violations) {
    const Seconds open_until = release_time(cluster);
    const auto participation = trial_participation_of(cluster, i);
    for (std::size_t s = 0; s < participation.size(); ++s) {
        if (participation[s].value != "no trial") {
            continue;
        }
        const Seconds from = participation[s].at + kInFlightTolerance;
        const Seconds to = s + 1 < participation.size() ? participation[s + 1].at : kFarFuture;
        for (const Seconds at : times) {
            if (at > from && at < std::min(to, open_until)) {
                violations.add(fmt::format(
                    "n{}: dispatched to the trial build {:.2f} s after it left the trial", i,
                    at - participation[s].at));
            }
        }
    }
}

// The highest cap that a member may have applied at `now`: the cap it was notified of, or a higher
// one that was in force during the window. A member whose inputs were muted applies the last cap it
// received, which can be any earlier one.
double highest_cap(const SidecarCluster& cluster, const SidecarCluster::Member& member,
                   Seconds now) {
    const Seconds from = now - kExposureWindow;
    // The cap of a build that has not been announced.
    double highest = cluster.platform.caps.front();
    for (const auto& [at, cap] : cluster.caps) {
        if (at <= from - kCapUpdateDelay) {
            highest = cap;
        } else if (at <= now) {
            highest = std::max(highest, cap);
        }
    }
    const bool muted = std::any_of(
        member.muted_intervals.begin(), member.muted_intervals.end(),
        [&](const Interval& interval) { return interval.from < now && interval.to + 3 > from; });
    for (const auto& [at, cap] : cluster.caps) {
        if (muted && at <= now) {
            highest = std::max(highest, cap);
        }
    }
    return highest;
}

// Exposure to the trial stays within the cap in each window that ends with a dispatch.
void check_exposure(const SidecarCluster& cluster, int i, const std::vector<Seconds>& times,
                    Violations& violations) {
    const SidecarCluster::Member& member = cluster.members[static_cast<std::size_t>(i)];
    const Seconds open_until = release_time(cluster);
    for (const Seconds now : times) {
        if (now >= open_until) {
            break;
        }
        const Seconds from = now - kExposureWindow;
        const double cap = highest_cap(cluster, member, now);
        const auto dispatch_count = std::count_if(
            times.begin(), times.end(), [&](Seconds at) { return at >= from && at <= now; });
        const auto request_count =
            std::count_if(member.clients->requests.begin(), member.clients->requests.end(),
                          [&](const ClientRequest& each) {
                              return each.sent_at >= from - 1.6 && each.sent_at <= now;
                          });
        const double limit =
            kExposureAllowance + std::min(1.0, cap) * static_cast<double>(request_count);
        if (static_cast<double>(dispatch_count) > 1.04 * limit + 2) {
            violations.add(
                fmt::format("n{}: {} of {} requests dispatched to the trial build in {} s, cap {}",
                            i, dispatch_count, request_count, kExposureWindow, cap));
        }
    }
}

// An audit never shows an unreachable member as current or behind, and never shows more members as
// excluded than the limit allows.
void check_audits(const SidecarCluster& cluster, Violations& violations) {
    const int count = cluster.options.members;
    const auto bound = static_cast<int>(std::floor(kMaxExcludedShare * count));
    for (const Audit& audit : cluster.audits) {
        int excluded_count = 0;
        for (const auto& [i, row] : audit.rows) {
            excluded_count += row.state == "shut out";
            if (i < 1 || i > count || (row.state != "current" && row.state != "behind") ||
                i == audit.queried_member) {
                continue;
            }
            if (!was_up_at_some_time(cluster.members[static_cast<std::size_t>(i)],
                                     audit.from - 0.05, audit.to)) {
                violations.add(fmt::format("n{} shows n{} as {} at {:.2f}, while it was down",
                                           audit.queried_member, i, row.state,
                                           audit.from - cluster.start));
            }
            if (was_cut_throughout(cluster, audit.queried_member, i, audit.from, audit.to)) {
                violations.add(fmt::format(
                    "n{} shows n{} as {} at {:.2f}, while the link between them was cut",
                    audit.queried_member, i, row.state, audit.from - cluster.start));
            }
        }
        if (excluded_count > bound) {
            violations.add(fmt::format(
                "n{} shows {} members as shut out at {:.2f}; the limit is {}", audit.queried_member,
                excluded_count, audit.from - cluster.start, bound));
        }
    }
}

}  // namespace

std::vector<std::string> violations_of(SidecarCluster& cluster) {
    Violations violations;
    for (std::string& line : cluster.slow_starts()) {
        violations.add(std::move(line));
    }
    check_answers(cluster, violations);
    for (const auto& [member, times] : check_effects(cluster, violations)) {
        check_participation(cluster, member, times, violations);
        check_exposure(cluster, member, times, violations);
    }
    check_audits(cluster, violations);
    for (int i = 1; i <= cluster.options.members; ++i) {
        violations.add_crashes(fmt::format("n{}", i), cluster.log_of(i));
    }
    return violations.lines();
}

}  // namespace tideline::fault_tests
