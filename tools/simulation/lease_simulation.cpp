#include "simulation/lease_simulation.hpp"

#include <fmt/format.h>

#include <mutex>
#include <string>

#include "planner_world/linearizability.hpp"
#include "simulation/lease_driver.hpp"
#include "simulation/lease_faults.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

// The limit of the linearizability search of one history.
constexpr std::size_t kMaxOrderingSteps = 200000;
// In seconds of virtual time.
constexpr double kFaultPhaseDuration = 30;
constexpr double kQuietPhaseDuration = 40;

struct Outcome {
    std::string violation;  // the first violated invariant; empty if all hold
    std::uint64_t steps = 0;
    std::uint64_t grants = 0;
    std::uint64_t acted = 0;
    std::uint64_t refused = 0;
    bool undecided = false;  // the linearizability search reached kMaxOrderingSteps
};

// The run of one seed: random faults for a while, then the repair of all faults, then a phase
// without faults in which the cluster has to recover.
class LeaseCheck {
  public:
    LeaseCheck(std::uint32_t seed, int planners, int members, bool verbose)
        : driver_(lease_simulation_settings(planners, members, seed), seed),
          world_(driver_.world),
          start_(driver_.now()),
          faults_(driver_, start_ + kFaultPhaseDuration, verbose) {}

    Outcome run() {
        for (int i = world_.planners(); i < world_.nodes(); ++i) {
            if (driver_.draw(0, 1) < 0.7) {
                world_.set_wanted(i, true);
            }
        }
        driver_.schedule(start_ + 2, [this] { faults_.inject(); });
        driver_.schedule(start_ + 0.5, [this] { let_holder_act(); });
        driver_.run(start_ + kFaultPhaseDuration);
        heal_all();
        driver_.run(start_ + kFaultPhaseDuration + kQuietPhaseDuration);
        return check_outcome();
    }

  private:
    // The holder checks at random times whether it may act, and then acts at once or up to 10 s
    // later, as a process that is paused between the check and the act.
    void let_holder_act() {
        const int holder = driver_.holder();
        if (holder >= 0 && !driver_.is_paused(holder) && !world_.has_pending_act(holder)) {
            world_.check_may_act(holder);
            const double after =
                driver_.draw(0, 1) < 0.1 ? driver_.draw(0, 10) : driver_.draw(0, 0.01);
            driver_.schedule(driver_.now() + after, [this, holder] { world_.perform_act(holder); });
            if (driver_.draw(0, 1) < 0.3) {
                world_.set_alarm(holder, driver_.draw(0, 1) < 0.5);
            }
        }
        driver_.schedule(driver_.now() + driver_.draw(0.02, 0.3), [this] { let_holder_act(); });
    }

    void heal_all() {
        driver_.heal_cuts();
        for (int i = 0; i < world_.nodes(); ++i) {
            driver_.set_delay(i, 0);
            driver_.set_paused(i, false);
            driver_.set_disk_delay(i, 0);
            world_.start(i);
        }
        for (int i = world_.planners(); i < world_.nodes(); ++i) {
            if (!world_.is_wanted(i)) {
                world_.set_wanted(i, true);
            }
        }
    }

    // Checks that, without outside help, the lease has a holder again, all planners are voters, and
    // the history of the register is linearizable.
    Outcome check_outcome() {
        Outcome outcome{world_.fault(), driver_.steps,    world_.grants(),
                        world_.acted(), world_.refused(), false};
        if (!outcome.violation.empty()) {
            outcome.violation =
                fmt::format("at {:.3f} s: {}", driver_.now() - start_, outcome.violation);
            return outcome;
        }
        if (driver_.holder() < 0) {
            outcome.violation =
                fmt::format("{} s after the repair of all faults no member holds the lease",
                            kQuietPhaseDuration);
        }
        const std::string missing = find_missing_voter();
        if (outcome.violation.empty()) {
            outcome.violation = missing;
        }
        const auto is_linearizable = linearizable(world_.history(), kMaxOrderingSteps);
        outcome.undecided = !is_linearizable;
        if (is_linearizable && !*is_linearizable) {
            outcome.violation = "the history of the register is not linearizable";
        }
        return outcome;
    }

    // Returns a message about a planner that is not a voter; empty if all are. Tries for 2 s,
    // because a membership entry of the Raft log may be in flight at any moment.
    std::string find_missing_voter() {
        std::string missing;
        for (int tries = 0; tries < 20; ++tries) {
            missing.clear();
            for (int i = 0; i < world_.planners(); ++i) {
                if (!world_.is_voter(i)) {
                    missing = fmt::format("p{} is not a voter at the end", i + 1);
                }
            }
            if (missing.empty()) {
                break;
            }
            driver_.run(driver_.now() + 0.1);
        }
        return missing;
    }

    LeaseDriver driver_;
    PlannerWorld& world_;
    const double start_;
    LeaseFaults faults_;
};

}  // namespace

int check_leases(std::uint32_t first, int seeds, int planners, int members, bool verbose) {
    std::mutex mutex;
    int violation_count = 0;
    int undecided = 0;
    std::uint64_t steps = 0;
    std::uint64_t grants = 0;
    std::uint64_t acted = 0;
    std::uint64_t refused = 0;
    for_each_seed(first, seeds, [&](std::uint32_t seed) {
        const Outcome outcome = LeaseCheck(seed, planners, members, verbose).run();
        const std::lock_guard guard(mutex);
        steps += outcome.steps;
        grants += outcome.grants;
        acted += outcome.acted;
        refused += outcome.refused;
        undecided += outcome.undecided;
        if (outcome.violation.empty()) {
            return;
        }
        ++violation_count;
        fmt::print("seed {}: {}\n", seed, outcome.violation);
    });
    fmt::print(
        "leases: {} seeds from {}, {} planners, {} members, {:.0f} s of faults each (virtual "
        "time), {} steps, {} grants, {} acts, {} refused by their fencing token, {} "
        "histories undecided: {}\n",
        seeds, first, planners, members, kFaultPhaseDuration, steps, grants, acted, refused,
        undecided, violation_count ? fmt::format("{} with faults", violation_count) : "all hold");
    return violation_count ? 1 : 0;
}

}  // namespace tideline::simulation
