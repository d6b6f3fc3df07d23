#include "swim/suspicions.hpp"

#include <algorithm>
#include <cmath>

namespace tideline::swim {
namespace {

using cluster::Name;

// Shortest time-out of a suspicion, in periods times log10 of the cluster size: the suspect learns
// of the suspicion and refutes it within that time.
constexpr double kMinTimeoutFactor = 4;
// Longest time-out, as a multiple of the shortest. It holds for a single accuser, which may itself
// be the slow member.
constexpr double kMaxTimeoutFactor = 3;
// Number of further accusers after which the shortest time-out holds.
constexpr double kMaxFurtherAccusers = 3;
constexpr double kMinClusterSize = 10;  // members, so that the logarithm is at least 1

}  // namespace

void Suspicions::start_suspicion(Seconds now, const Name& suspect, const Name& accuser) {
    suspicions_[suspect] = {now, {accuser}};
}

bool Suspicions::add_accuser(const Name& suspect, const Name& accuser) {
    Suspicion& suspicion = suspicions_[suspect];
    return suspicion.accusers.size() <= static_cast<std::size_t>(kMaxFurtherAccusers) &&
           suspicion.accusers.insert(accuser).second;
}

// The time-out is longest with a single accuser, and decreases as others join.
Seconds Suspicions::deadline(const Suspicion& suspicion, double cluster_size, Seconds period) {
    const double shortest =
        kMinTimeoutFactor * std::log10(std::max(kMinClusterSize, cluster_size)) * period;
    const double longest = kMaxTimeoutFactor * shortest;
    const double further = static_cast<double>(suspicion.accusers.size()) - 1;
    const double enough = std::min(kMaxFurtherAccusers, cluster_size - 2);
    if (enough < 1) {
        return suspicion.since + shortest;
    }
    const double share = std::min(1.0, std::log(further + 1) / std::log(enough + 1));
    return suspicion.since + longest - (longest - shortest) * share;
}

std::vector<Name> Suspicions::expired(Seconds now, double cluster_size, Seconds period) const {
    std::vector<Name> names;
    for (const auto& [name, suspicion] : suspicions_) {
        if (now >= deadline(suspicion, cluster_size, period)) {
            names.push_back(name);
        }
    }
    return names;
}

Seconds Suspicions::next_deadline(Seconds latest, double cluster_size, Seconds period) const {
    Seconds next = latest;
    for (const auto& [name, suspicion] : suspicions_) {
        next = std::min(next, deadline(suspicion, cluster_size, period));
    }
    return next;
}

void Suspicions::postpone(Seconds by) {
    for (auto& [name, suspicion] : suspicions_) {
        suspicion.since += by;
    }
}

}  // namespace tideline::swim
