// A fleet with replication in a fault test: its clients, its lost machines and the check of the
// record.
#pragma once

#include <fmt/format.h>

#include <algorithm>

#include "fakes/repeating_clients.hpp"
#include "fault_tests/check.hpp"
#include "fault_tests/fleet.hpp"
#include "fault_tests/replication_scenarios.hpp"
#include "replication/message_codec.hpp"

namespace tideline::fault_tests {

using cluster::Name;

constexpr int kClientPort = 5433;
// After all faults are undone, all replicas are complete again within this time.
constexpr Seconds kCompletionTimeout = 20;
// Tolerated time between an answer and its entry in the record, on a busy machine.
constexpr Seconds kMaxLateness = 0.15;
// The primary has the record of an answer this long after the answer.
constexpr Seconds kRecordNotificationDelay = 0.3;
// The number of answered requests that are retried at the end of a scenario.
constexpr std::size_t kMaxFinalRetries = 120;

// Returns the sidecars' options for the scenario's.
inline SidecarClusterOptions cluster_options_of(const ReplicationOptions& options) {
    SidecarClusterOptions all;
    all.members = options.members;
    all.replicas = options.without_replication ? 0 : options.replicas;
    all.min_replicas = options.min_replicas;
    all.rate = 0;  // only the clients that retry send requests
    all.faulty_disk_library = options.planners.faulty_disk_library;
    return all;
}

// The planners, sidecars and clients with retries of one scenario.
struct ReplicationFleet : Fleet {
    explicit ReplicationFleet(const ReplicationOptions& replication_options,
                              const SidecarClusterOptions& base)
        : Fleet(replication_options.planners, base),
          options(replication_options),
          clients(loop, addresses(replication_options.members), {"charge", "instalment"},
                  replication_options.planners.seed) {}
    static std::vector<net::Address> addresses(int members) {
        std::vector<net::Address> all;
        for (int i = 1; i <= members; ++i) {
            all.push_back(fakes::at_port(256 + i, kClientPort));
        }
        return all;
    }
    void apply(const std::string& action, std::vector<double> arguments = {}) {
        sidecars.apply({0, action, std::move(arguments)});
    }
    void set_disk_fault(int member, DiskFault fault) {
        apply("disk", {static_cast<double>(member), static_cast<double>(fault)});
    }
    void run(Seconds duration) {
        sidecars.run(duration);
    }
    // Sends a query to the running members in order and returns the first answer; nothing if none
    // answered.
    std::optional<wire::Holdings> query(const wire::AskHoldings& message = {}) {
        for (int i = 1; i <= options.members; ++i) {
            SidecarCluster::Member& member = sidecars.members[static_cast<std::size_t>(i)];
            if (!member.process->runs() || member.stopped) {
                continue;
            }
            cluster::ReplicationQuery replication_query(
                loop, fakes::at_port(i, kClusterPort, kListenNetwork), message);
            sidecars.run_until(2, [&] { return replication_query.finished; });
            replication_query.close();
            if (replication_query.answered) {
                return replication_query.answer;
            }
        }
        return std::nullopt;
    }
    // Returns the replica table of the first member that answers.
    std::optional<replication::ReplicaTable> table() {
        const auto answer = query();
        replication::ReplicaTable table;
        if (!answer || !replication::table_from(answer->table(), table)) {
            return std::nullopt;
        }
        return table;
    }
    // Returns the number of the member that holds the repair lease; 0 if none is known.
    int repair_coordinator() {
        const auto answer = query();
        const std::string name = answer ? answer->steward() : "";
        return name.empty() ? 0 : std::stoi(name.substr(1));
    }
    // Whether every shard has all its replicas, in different places, and a primary that serves, and
    // all members have the newest table.
    bool is_complete() {
        const auto answer = query();
        replication::ReplicaTable table;
        if (!answer || !replication::table_from(answer->table(), table) || table.shards.empty()) {
            return false;
        }
        std::size_t open = 0;
        std::map<Name, const wire::HeldReport*> reports;
        for (const auto& row : answer->rows()) {
            if (!row.has_report() || !row.report().works()) {
                continue;
            }
            reports[Name{row.name()}] = &row.report();
            open += row.report().open();
        }
        for (const replication::ReplicaSet& replica_set : table.shards) {
            std::set<int> places;
            for (const Name& each : replica_set.replicas) {
                const auto it = reports.find(each);
                const auto disk = table.disks.find(each);
                if (it == reports.end() || disk == table.disks.end() ||
                    it->second->disk() != disk->second.value ||
                    it->second->number() != table.version.value || it->second->rotten_size() > 0) {
                    return false;
                }
                places.insert(std::stoi(each.value.substr(1)) % 3);
            }
            if (replica_set.replicas.size() < table.replication_factor ||
                !replica_set.catching_up.empty() || places.size() < table.replication_factor) {
                return false;
            }
        }
        return open == table.shards.size();
    }
    bool wait_until_complete(Seconds timeout = kCompletionTimeout) {
        const Seconds until = net::clock_now() + timeout;
        while (net::clock_now() < until) {
            if (is_complete()) {
                return true;
            }
            run(0.1);
        }
        return false;
    }
    // Returns the member that is the primary of the most shards, or, unless `primary`, a replica of
    // the most.
    int busiest_member(bool primary) {
        std::map<Name, int> counts;
        if (const auto current = table()) {
            for (const replication::ReplicaSet& replica_set : current->shards) {
                for (const Name& each : replica_set.replicas) {
                    if (!primary || each == replica_set.primary()) {
                        ++counts[each];
                    }
                }
            }
        }
        int busiest = 1;
        for (const auto& [name, count] : counts) {
            if (count > counts[Name{fmt::format("n{}", busiest)}]) {
                busiest = std::stoi(name.value.substr(1));
            }
        }
        return busiest;
    }
    // Kills a member and removes its folder.
    void lose_machine(int member) {
        apply("kill", {static_cast<double>(member)});
        apply("wipe", {static_cast<double>(member)});
        ++machines_lost;
    }
    // Checks the complete record of clients and endpoints and adds the violations.
    void check() {
        for (const std::string& line : sidecars.slow_starts()) {
            expect(false, line);
        }
        expect(count_in_logs("shows two seals") == 0,
               "a member logged two different seals of one epoch");
        for (const auto& [key, all] : sidecars.effects.by_key) {
            duplicate_effects += all.size() > 1;
        }
        if (!options.without_replication) {
            for (const auto& [key, all] : sidecars.effects.by_key) {
                expect(all.size() < 2, fmt::format("{} took effect {} times", key, all.size()));
            }
        }
        for (const fakes::RepeatedRequest& each : clients.requests) {
            for (const fakes::Attempt& attempt : each.attempts) {
                expect(attempt.answers < 2,
                       fmt::format("{}: {} answers to one attempt", each.key, attempt.answers));
                const Seconds max_latency = clients.time_limit + kMaxLateness;
                const Seconds waited = attempt.answers > 0 ? attempt.latency : max_latency;
                const UpInterval* const serving = sidecars.serving_interval(
                    attempt.sidecar + 1, attempt.sent_at, attempt.sent_at + waited);
                expect(!serving || attempt.answers == 0 || attempt.latency <= max_latency,
                       fmt::format("{}: an answer came after {:.2f} s, beyond its time limit",
                                   each.key, attempt.latency));
                expect(!serving || attempt.answers > 0,
                       fmt::format("{}: no answer from n{} within {:.2f} s, sent {:.2f} s after it "
                                   "listened",
                                   each.key, attempt.sidecar + 1, max_latency,
                                   serving ? attempt.sent_at - serving->listening_from : 0));
                if (attempt.result != fakes::CallResult::succeeded) {
                    continue;
                }
                expect(attempt.answer == "value of " + each.key,
                       fmt::format("{}: an answer with the value of another request", each.key));
                expect(sidecars.effects.by_key.contains(each.key),
                       each.key + " succeeded but took no effect");
            }
        }
    }
    // Whether the sidecar that answered went down right afterwards. The record of the answer may
    // then be lost as well.
    bool was_lost_after_answer(const fakes::RepeatedRequest& each) const {
        for (const fakes::Attempt& attempt : each.attempts) {
            if (attempt.result != fakes::CallResult::succeeded) {
                continue;
            }
            for (const UpInterval& interval :
                 sidecars.members[static_cast<std::size_t>(attempt.sidecar) + 1].up_intervals) {
                if (interval.to >= each.succeeded_at &&
                    interval.to < each.succeeded_at + kRecordNotificationDelay) {
                    return true;
                }
            }
            return false;
        }
        return false;
    }
    // Retries answered requests at another sidecar. Each must get the same answer, and none may
    // take effect again.
    void retry_answered_requests() {
        std::vector<std::size_t> answered_requests;
        const Seconds now = net::clock_now();
        for (std::size_t i = 0; i < clients.requests.size(); ++i) {
            if (clients.requests[i].succeeded_at > now - 0.7 * sidecars.options.time_to_live &&
                !was_lost_after_answer(clients.requests[i])) {
                answered_requests.push_back(i);
            }
        }
        std::vector<std::size_t> chosen;
        for (std::size_t i = 0; i < std::min(kMaxFinalRetries, answered_requests.size()); ++i) {
            chosen.push_back(
                answered_requests[i * answered_requests.size() /
                                  std::min(kMaxFinalRetries, answered_requests.size())]);
        }
        for (const std::size_t request_index : chosen) {
            const fakes::RepeatedRequest& request = clients.requests[request_index];
            int at = (request.attempts.back().sidecar + 1) % options.members;
            for (int i = 0; i < options.members &&
                            !sidecars.members[static_cast<std::size_t>(at) + 1].process->runs();
                 ++i) {
                at = (at + 1) % options.members;
            }
            clients.retry(request_index, at);
            run(0.005);
        }
        run(clients.time_limit + 0.3);
        // A rejected attempt is retried: a rejection means that the attempt took no effect, and
        // does not show that the answer is lost.
        for (int round = 0; round < 3; ++round) {
            bool any_rejected = false;
            for (const std::size_t request_index : chosen) {
                const int at = clients.requests[request_index].attempts.back().sidecar;
                if (clients.requests[request_index].attempts.back().result !=
                    fakes::CallResult::rejected) {
                    continue;
                }
                clients.retry(request_index, at);
                any_rejected = true;
            }
            if (any_rejected) {
                run(clients.time_limit + 0.3);
            }
        }
        std::size_t missing = 0;
        std::string missing_requests;
        for (const std::size_t request_index : chosen) {
            const fakes::RepeatedRequest& request = clients.requests[request_index];
            const fakes::Attempt& attempt = request.attempts.back();
            if (attempt.result == fakes::CallResult::succeeded) {
                continue;
            }
            ++missing;
            missing_requests += fmt::format(
                "{} ({}, first answered at {:.3f}, sent last at {:.3f})", attempts_of(request),
                request.request_class, request.succeeded_at, attempt.sent_at);
        }
        retried_at_end = chosen.size();
        expect(
            missing == 0,
            fmt::format(
                "{} of {} answered requests did not get their answer again at another sidecar:{}",
                missing, retried_at_end, missing_requests));
    }

    const ReplicationOptions options;
    fakes::RepeatingClients clients;
    int machines_lost = 0;
    int duplicate_effects = 0;
    std::size_t retried_at_end = 0;
};

}  // namespace tideline::fault_tests
