#include "simulation/lease_faults.hpp"

#include <fmt/format.h>

#include <utility>

namespace tideline::simulation {

LeaseFaults::LeaseFaults(LeaseDriver& driver, double end, bool verbose)
    : driver_(driver), world_(driver.world), start_(driver.now()), end_(end), verbose_(verbose) {}

void LeaseFaults::inject() {
    if (driver_.now() > end_) {
        return;
    }
    const double until = driver_.now() + driver_.draw(0.1, 6);
    const int planner = driver_.draw_below(world_.planners());
    const int node = driver_.draw_below(world_.nodes());
    const int other_node = driver_.draw_below(world_.nodes());
    const int member = draw_member();
    switch (driver_.draw_below(15)) {
        case 0:
        case 1:
            kill_planner(planner, until);
            break;
        case 2:
            pause_leader(until);
            break;
        case 3:
            pause_holder(until);
            break;
        case 4:
            cut_connection(node, other_node, until);
            break;
        case 5:
            split_network(until);
            break;
        case 6:
            slow_node(node, until);
            break;
        case 7:
            kill_member(member, until);
            break;
        case 8:
            release_twice();
            break;
        case 9:
            wipe_planner(planner);
            break;
        case 10:
            revoke_lease();
            break;
        case 11:
            toggle_wanted(member);
            break;
        case 12:
        case 13:
            slow_disk_then_kill(planner, until);
            break;
        default:
            restart_planners_in_turn();
    }
    driver_.schedule(driver_.now() + driver_.draw(0.1, 2.5), [this] { inject(); });
}

void LeaseFaults::log(const std::string& text) const {
    if (verbose_) {
        fmt::print("{:8.3f} {}\n", driver_.now() - start_, text);
    }
}

void LeaseFaults::log_and_call_at(double when, std::string text, std::function<void()> call) {
    driver_.schedule(when, [this, text = std::move(text), call = std::move(call)] {
        log(text);
        call();
    });
}

int LeaseFaults::draw_member() {
    return world_.planners() + driver_.draw_below(world_.nodes() - world_.planners());
}

// Asks the leader to admit the wiped planner every half second until it is a voter again.
void LeaseFaults::readmit_wiped_planner() {
    if (wiped_planner_ < 0) {
        return;
    }
    if (world_.is_voter(wiped_planner_)) {
        log(fmt::format("p{} is a voter again", wiped_planner_ + 1));
        wiped_planner_ = -1;
        return;
    }
    if (const int leader = driver_.leader(); leader >= 0 && !driver_.is_paused(leader)) {
        world_.admit(wiped_planner_, leader);
    }
    driver_.schedule(driver_.now() + 0.5, [this] { readmit_wiped_planner(); });
}

void LeaseFaults::kill_planner(int planner, double until) {
    if (planner == wiped_planner_) {
        return;
    }
    log(fmt::format("kill p{}", planner + 1));
    driver_.kill(planner);
    log_and_call_at(until, fmt::format("start p{}", planner + 1),
                    [this, planner] { world_.start(planner); });
}

void LeaseFaults::pause_leader(double until) {
    const int leader = driver_.leader();
    if (leader < 0) {
        return;
    }
    log(fmt::format("pause the leader p{}", leader + 1));
    driver_.set_paused(leader, true);
    log_and_call_at(until, fmt::format("resume p{}", leader + 1),
                    [this, leader] { driver_.set_paused(leader, false); });
}

void LeaseFaults::pause_holder(double until) {
    const int holder = driver_.holder();
    if (holder < 0) {
        return;
    }
    log(fmt::format("pause the holder m{}", holder));
    driver_.set_paused(holder, true);
    log_and_call_at(until, fmt::format("resume m{}", holder),
                    [this, holder] { driver_.set_paused(holder, false); });
}

void LeaseFaults::cut_connection(int from, int to, double until) {
    log(fmt::format("cut {} {}", from, to));
    driver_.set_cut(from, to, true);
    log_and_call_at(until, fmt::format("heal {} {}", from, to),
                    [this, from, to] { driver_.set_cut(from, to, false); });
}

void LeaseFaults::split_network(double until) {
    log("split");
    driver_.split_network(0.4);
    log_and_call_at(until, "heal", [this] { driver_.heal_cuts(); });
}

void LeaseFaults::slow_node(int node, double until) {
    log(fmt::format("slow {}", node));
    driver_.set_delay(node, driver_.draw(0.1, 3));
    log_and_call_at(until, fmt::format("no longer slow {}", node),
                    [this, node] { driver_.set_delay(node, 0); });
}

void LeaseFaults::kill_member(int member, double until) {
    log(fmt::format("kill m{}", member));
    driver_.kill(member);
    log_and_call_at(until, fmt::format("start m{}", member),
                    [this, member] { world_.start(member); });
}

// Releases the lease twice within half a second.
void LeaseFaults::release_twice() {
    log("release the lease twice within half a second");
    for (const double after : {0.0, driver_.draw(0.05, 0.5)}) {
        driver_.schedule(driver_.now() + after, [this] {
            const int holder = driver_.holder();
            if (holder < 0) {
                return;
            }
            world_.set_wanted(holder, false);
            driver_.schedule(driver_.now() + driver_.draw(0.1, 3),
                             [this, holder] { world_.set_wanted(holder, true); });
        });
    }
}

// At most one planner at a time has a wiped disk, and the leader is never wiped.
void LeaseFaults::wipe_planner(int planner) {
    if (wiped_planner_ >= 0 || planner == driver_.leader()) {
        return;
    }
    log(fmt::format("wipe p{}", planner + 1));
    driver_.kill(planner);
    world_.wipe(planner);
    wiped_planner_ = planner;
    log_and_call_at(driver_.now() + driver_.draw(0.1, 2),
                    fmt::format("start p{} on an empty disk", planner + 1), [this, planner] {
                        world_.start(planner);
                        readmit_wiped_planner();
                    });
}

void LeaseFaults::revoke_lease() {
    if (const int leader = driver_.leader(); leader >= 0) {
        log("revoke the lease");
        world_.revoke(leader);
    }
}

void LeaseFaults::toggle_wanted(int member) {
    const bool wanted = world_.is_wanted(member);
    log(fmt::format("m{} {}", member, wanted ? "no longer wants the lease" : "wants the lease"));
    world_.set_wanted(member, !wanted);
}

// Makes the writes of a planner slow, then kills it, so that it may crash during a write.
void LeaseFaults::slow_disk_then_kill(int planner, double until) {
    const double delay = driver_.draw(0.05, 0.8);
    log(fmt::format("writes of p{} take up to {:.2f} s", planner + 1, delay));
    driver_.set_disk_delay(planner, delay);
    log_and_call_at(
        until, fmt::format("kill p{}, whose disk is fast again afterwards", planner + 1),
        [this, planner] {
            if (planner != wiped_planner_) {
                driver_.kill(planner);
            }
            driver_.set_disk_delay(planner, 0);
            driver_.schedule(driver_.now() + 0.2, [this, planner] { world_.start(planner); });
        });
}

// Restarts all planners one after the other, so that the majority itself changes.
void LeaseFaults::restart_planners_in_turn() {
    log("restart all planners one after the other");
    for (int i = 0; i < world_.planners(); ++i) {
        driver_.schedule(driver_.now() + 0.7 * i, [this, i] {
            if (i == wiped_planner_) {
                return;
            }
            driver_.kill(i);
            driver_.schedule(driver_.now() + 0.3, [this, i] { world_.start(i); });
        });
    }
}

}  // namespace tideline::simulation
