#include "simulation/cluster_check.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "simulation/cluster_simulation.hpp"
#include "simulation/random.hpp"
#include "simulation/seeds.hpp"

namespace tideline::simulation {
namespace {

using audit::VersionPart;

// In seconds of virtual time.
constexpr Seconds kFaultPhaseDuration = 40;
constexpr Seconds kRecoveryTimeout = 120;
constexpr Seconds kStartTime = 1000;  // time at which the clock of SimulatedCluster starts
constexpr Seconds kStepDuration = 0.05;

// The run of one seed: random faults for a while, then the repair of all faults, then a phase
// without faults in which the cluster has to recover.
class ClusterCheck {
  public:
    ClusterCheck(std::uint32_t seed, int members)
        : members_(members),
          random_(seed ^ 0x5eed),
          cluster_(draw_settings(seed)),
          required_ranks_(static_cast<std::size_t>(members), 0),
          applied_revisions_(required_ranks_),
          incarnations_(required_ranks_),
          max_excluded_(static_cast<std::size_t>(audit::VersionAuditSettings{}.max_excluded_share *
                                                 members)) {
        byzantine_ = draw(0, 1) < 0.3 ? draw_member() : -1;
        cluster_.after_step = [this](int member) { check_member(member); };
    }

    // Executes the run. Returns the first violated invariant; empty if all hold.
    std::string run() {
        if (byzantine_ >= 0) {
            cluster_.make_byzantine(byzantine_);
        }
        run_fault_phase();
        heal_all();
        std::string not_recovered = "?";
        for (const Seconds end = cluster_.now() + kRecoveryTimeout;
             violation_.empty() && cluster_.now() < end && !not_recovered.empty();) {
            cluster_.run(cluster_.now() + 1);
            not_recovered = why_not_recovered();
        }
        if (violation_.empty() && !not_recovered.empty()) {
            violation_ = "120 s after the repair of all faults: " + not_recovered;
        }
        return violation_;
    }

  private:
    struct Repair {
        Seconds due = 0;
        std::function<void()> call;  // empty after the call
    };

    double draw(double from, double to) {
        return draw_uniform(random_, from, to);
    }
    int draw_member() {
        return static_cast<int>(draw(0, members_));
    }
    // Also draws whether all members know each other at the start.
    ClusterSimulationSettings draw_settings(std::uint32_t seed) {
        ClusterSimulationSettings settings;
        settings.members = members_;
        settings.seed = seed;
        settings.version_audit.grace = 2;
        settings.version_audit.exclude_after = 3;
        settings.version_audit.uncertain_after = 5;
        settings.membership.regain_every = 2;
        settings.all_members_known = draw(0, 1) < 0.5;
        return settings;
    }

    void record_violation(int member, const std::string& text) {
        violation_ = fmt::format("at {:.3f} s, {}: {}", cluster_.now() - kStartTime,
                                 SimulatedCluster::name_of(member).value, text);
    }

    // Checks the invariants of one member after each of its steps. If one step violates several,
    // the last one is kept.
    void check_member(int member) {
        if (!violation_.empty()) {
            return;
        }
        const auto index = static_cast<std::size_t>(member);
        const auto incarnation = cluster_.membership(member).self().incarnation.value;
        const auto required = cluster_.version_audit(member).required_rank(VersionPart::list);
        const auto applied = cluster_.list_revision_of(member);
        if (incarnations_[index] != incarnation) {
            incarnations_[index] = incarnation;
            required_ranks_[index] = applied_revisions_[index] = 0;
        }
        if (required < required_ranks_[index]) {
            record_violation(member, "the required rank decreased");
        }
        if (required > cluster_.revision()) {
            record_violation(
                member, fmt::format("the required rank {} is above the newest revision", required));
        }
        if (applied < applied_revisions_[index]) {
            record_violation(member, "it returned to an older revision of the list");
        }
        if (applied > cluster_.revision()) {
            record_violation(member, "it acts on a revision that the list never had");
        }
        if (member != byzantine_ &&
            cluster_.version_audit(member).excluded_members().size() > max_excluded_) {
            record_violation(member, "it excludes more members than the limit");
        }
        required_ranks_[index] = required;
        applied_revisions_[index] = applied;
    }

    // Counts the members that are excluded in the views of at least as many members as there are
    // witnesses, which makes them close their trial participation.
    std::size_t count_excluded_over_all_views() const {
        std::map<Name, int> excluded_by;
        for (int member = 0; member < members_; ++member) {
            if (member == byzantine_ || !cluster_.is_alive(member)) {
                continue;
            }
            for (const Name& name : cluster_.version_audit(member).excluded_members()) {
                ++excluded_by[name];
            }
        }
        const int witnesses = audit::VersionAuditSettings{}.witnesses;
        return static_cast<std::size_t>(
            std::count_if(excluded_by.begin(), excluded_by.end(),
                          [&](const auto& each) { return each.second >= witnesses; }));
    }

    void run_fault_phase() {
        const Seconds start = cluster_.now();
        Seconds next_fault = start + 2;
        Seconds next_revision = start + 1;
        while (cluster_.now() < start + kFaultPhaseDuration && violation_.empty()) {
            cluster_.run(cluster_.now() + kStepDuration);
            check_exclusions(start);
            run_due_repairs();
            if (cluster_.now() >= next_revision) {
                cluster_.publish_revision();
                next_revision = cluster_.now() + draw(0.1, 3);
            }
            if (cluster_.now() >= next_fault) {
                next_fault = cluster_.now() + draw(0.2, 3);
                inject_fault();
            }
        }
    }

    // The total over all views may exceed the limit by one for a moment if a Byzantine member
    // excludes members that lag.
    void check_exclusions(Seconds start) {
        const std::size_t excluded = count_excluded_over_all_views();
        if (excluded > max_excluded_ + (byzantine_ >= 0 ? 1 : 0) && violation_.empty()) {
            violation_ =
                fmt::format("at {:.2f} s, {} members are excluded over all views, {} at most{}",
                            cluster_.now() - start, excluded, max_excluded_,
                            byzantine_ >= 0 ? ", one member is Byzantine" : "");
        }
    }

    void run_due_repairs() {
        for (auto& [due, call] : repairs_) {
            if (call && due <= cluster_.now()) {
                call();
                call = nullptr;
            }
        }
    }

    // Injects one fault and schedules its repair.
    void inject_fault() {
        const int member = draw_member();
        const int other = draw_member();
        const Seconds until = cluster_.now() + draw(0.2, 12);
        const auto schedule_repair = [&](std::function<void()> call) {
            repairs_.push_back({until, std::move(call)});
        };
        switch (static_cast<int>(draw(0, 7))) {
            case 0:
                cluster_.kill(member);
                schedule_repair([this, member] { cluster_.start(member); });
                break;
            case 1:
                cluster_.set_paused(member, true);
                schedule_repair([this, member] { cluster_.set_paused(member, false); });
                break;
            case 2:
                cluster_.set_cut(member, other, true);
                schedule_repair([this, member, other] { cluster_.set_cut(member, other, false); });
                break;
            case 3: {
                const int border = draw_member();
                set_partition(border, true);
                schedule_repair([this, border] { set_partition(border, false); });
                break;
            }
            case 4:
                cluster_.set_delay(member, draw(0.1, 3));
                schedule_repair([this, member] { cluster_.set_delay(member, 0); });
                break;
            default:
                cluster_.set_muted(member, true);
                schedule_repair([this, member] { cluster_.set_muted(member, false); });
        }
    }

    // Cuts or restores all connections between the members below the border and the others.
    void set_partition(int border, bool is_cut) {
        for (int a = 0; a < border; ++a) {
            for (int b = border; b < members_; ++b) {
                cluster_.set_cut(a, b, is_cut);
                cluster_.set_cut(b, a, is_cut);
            }
        }
    }

    void heal_all() {
        for (auto& [due, call] : repairs_) {
            if (call) {
                call();
            }
        }
        for (int member = 0; member < members_; ++member) {
            cluster_.set_paused(member, false);
            cluster_.start(member);
            cluster_.set_muted(member, false);
            cluster_.set_delay(member, 0);
            for (int other = 0; other < members_; ++other) {
                cluster_.set_cut(member, other, false);
            }
        }
    }

    // Returns which member has not recovered. Empty once all members know each other again, none
    // lags and none is excluded, without outside help.
    std::string why_not_recovered() const {
        for (int member = 0; member < members_; ++member) {
            if (member == byzantine_) {
                continue;
            }
            const std::string name = SimulatedCluster::name_of(member).value;
            if (cluster_.version_audit(member).trial_participation() != TrialParticipation::open) {
                return name + " does not take part in trials";
            }
            for (int other = 0; other < members_; ++other) {
                if (member != other && cluster_.state_of(member, other) != MemberState::present) {
                    return fmt::format("{} does not regard {} as present", name,
                                       SimulatedCluster::name_of(other).value);
                }
            }
            if (!cluster_.version_audit(member).excluded_members().empty()) {
                return "a member is still excluded at " + name;
            }
        }
        return {};
    }

    const int members_;
    std::ranlux24_base random_;
    SimulatedCluster cluster_;
    // The values of each member at its last step. They must not decrease within one incarnation.
    std::vector<std::uint64_t> required_ranks_;
    std::vector<std::uint64_t> applied_revisions_;
    std::vector<std::uint64_t> incarnations_;
    const std::size_t max_excluded_;
    int byzantine_ = -1;  // index of the Byzantine member; -1: none
    std::vector<Repair> repairs_;
    std::string violation_;
};

}  // namespace

int check_cluster(std::uint32_t first, int seeds, int members) {
    std::mutex mutex;
    int violation_count = 0;
    for_each_seed(first, seeds, [&](std::uint32_t seed) {
        const std::string violation = ClusterCheck(seed, members).run();
        if (violation.empty()) {
            return;
        }
        const std::lock_guard guard(mutex);
        ++violation_count;
        fmt::print("seed {}: {}\n", seed, violation);
    });
    fmt::print("{} seeds from {}, {} members, 40 s of faults each (virtual time): {}\n", seeds,
               first, members,
               violation_count ? fmt::format("{} with faults", violation_count) : "all hold");
    return violation_count ? 1 : 0;
}

}  // namespace tideline::simulation
