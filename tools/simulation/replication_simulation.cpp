#include "simulation/replication_simulation.hpp"

#include <fmt/format.h>

#include <mutex>
#include <string>

#include "simulation/replication_driver.hpp"
#include "simulation/replication_faults.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

// In seconds of virtual time.
constexpr double kFaultPhaseDuration = 40;
constexpr double kQuietPhaseDuration = 60;

struct Outcome {
    std::string violation;  // the first violated invariant; empty if all hold
    std::uint64_t steps = 0;
    std::uint64_t submitted = 0;
    std::uint64_t granted_attempts = 0;
    std::uint64_t answered_from_record = 0;
    std::uint64_t rejected = 0;
    std::uint64_t repeated_effects = 0;
    std::uint64_t lost_disks = 0;
    std::uint64_t acknowledged = 0;
};

// The run of one seed: random faults for a while, then the repair of all faults, then a phase
// without faults in which the cluster has to recover.
class ReplicationCheck {
  public:
    ReplicationCheck(const ReplicationSimulationOptions& options, std::uint32_t seed)
        : options_(options),
          driver_(options, seed),
          world_(driver_.world),
          faults_(driver_, options, kFaultPhaseDuration) {}

    Outcome run() {
        driver_.start();
        driver_.schedule(driver_.now() + 8, [this] { faults_.inject(); });
        driver_.run(driver_.now() + kFaultPhaseDuration);
        heal_all();
        driver_.run(driver_.now() + kQuietPhaseDuration / 2);
        driver_.end_requests();
        driver_.run(driver_.now() + kQuietPhaseDuration / 2);
        Outcome outcome = collect_totals();
        if (!outcome.violation.empty()) {
            outcome.violation =
                fmt::format("at {:.3f} s: {}", driver_.elapsed(), outcome.violation);
        } else if (options_.replication) {
            outcome.violation = why_not_recovered();
        }
        return outcome;
    }

  private:
    void heal_all() {
        driver_.heal_cuts();
        for (int i = 0; i < options_.members; ++i) {
            driver_.set_delay(i, 0);
            driver_.set_paused(i, false);
            driver_.set_disk_delay(i, 0);
            world_.start(i);
        }
    }

    Outcome collect_totals() const {
        Outcome outcome;
        outcome.violation = world_.fault();
        outcome.steps = driver_.steps;
        outcome.submitted = driver_.submitted;
        outcome.granted_attempts = world_.granted_attempts;
        outcome.answered_from_record = count_results(RequestResult::answered_from_record);
        outcome.rejected = count_results(RequestResult::rejected);
        outcome.repeated_effects = world_.repeated_effects;
        outcome.lost_disks = driver_.lost_disks;
        outcome.acknowledged = world_.acknowledged();
        return outcome;
    }

    std::uint64_t count_results(RequestResult result) const {
        const auto found = world_.results.find(result);
        return found == world_.results.end() ? 0 : found->second;
    }

    // Returns what has not recovered without outside help. Empty if all shards are fully
    // replicated, each acknowledged record is stored and each request has ended.
    std::string why_not_recovered() const {
        if (!world_.fully_replicated()) {
            if (options_.verbose) {
                print_repair_coordinators();
            }
            return fmt::format(
                "{} s after the repair of all faults not all shards are fully replicated",
                kQuietPhaseDuration);
        }
        if (const auto missing = world_.missing_records(); !missing.empty()) {
            return fmt::format("{} acknowledged records are missing, the first is {}",
                               missing.size(), missing.front());
        }
        if (world_.open_requests() > 0) {
            return fmt::format("{} requests have not ended", world_.open_requests());
        }
        return {};
    }

    void print_repair_coordinators() const {
        for (int i = 0; i < options_.members; ++i) {
            const auto* coordinator = world_.repair_coordinator_of(i);
            fmt::print("n{} {}\n", i + 1, coordinator ? coordinator->state() : "down");
        }
    }

    const ReplicationSimulationOptions options_;
    ReplicationDriver driver_;
    ReplicationWorld& world_;
    ReplicationFaults faults_;
};

void add_outcome(Outcome& sum, const Outcome& outcome) {
    sum.steps += outcome.steps;
    sum.submitted += outcome.submitted;
    sum.granted_attempts += outcome.granted_attempts;
    sum.answered_from_record += outcome.answered_from_record;
    sum.rejected += outcome.rejected;
    sum.repeated_effects += outcome.repeated_effects;
    sum.lost_disks += outcome.lost_disks;
    sum.acknowledged += outcome.acknowledged;
}

}  // namespace

int check_replication(const ReplicationSimulationOptions& options) {
    std::mutex mutex;
    int violation_count = 0;
    Outcome sum;
    for_each_seed(options.first, options.seeds, [&](std::uint32_t seed) {
        const Outcome outcome = ReplicationCheck(options, seed).run();
        const std::lock_guard guard(mutex);
        add_outcome(sum, outcome);
        if (outcome.violation.empty()) {
            return;
        }
        ++violation_count;
        fmt::print("seed {}: {}\n", seed, outcome.violation);
    });
    fmt::print(
        "holders: {} seeds from {}, {} members, {} replicas{}, {:.0f} s of faults each (virtual "
        "time), {} steps, {} requests, {} attempts granted, {} answers from records, {} rejected, "
        "{} keys acknowledged, {} disks lost, {} repeated effects: {}\n",
        options.seeds, options.first, options.members, options.replicas,
        options.replication ? "" : " (off)", kFaultPhaseDuration, sum.steps, sum.submitted,
        sum.granted_attempts, sum.answered_from_record, sum.rejected, sum.acknowledged,
        sum.lost_disks, sum.repeated_effects,
        violation_count ? fmt::format("{} with faults", violation_count) : "all hold");
    return violation_count ? 1 : 0;
}

}  // namespace tideline::simulation
