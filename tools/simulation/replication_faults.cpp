#include "simulation/replication_faults.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace tideline::simulation {
namespace {

constexpr std::uint32_t kCorruptibleShards = 8;  // only the first shards get corrupted

}  // namespace

ReplicationFaults::ReplicationFaults(ReplicationDriver& driver,
                                     const ReplicationSimulationOptions& options, double end)
    : driver_(driver), world_(driver.world), options_(options), end_(end) {}

void ReplicationFaults::inject() {
    if (driver_.elapsed() > end_) {
        return;
    }
    const double until = driver_.now() + driver_.draw(0.1, 5);
    const int member = driver_.draw_member();
    const int other_node = driver_.draw_below(world_.nodes());
    switch (driver_.draw_below(13)) {
        case 0:
        case 1:
            kill_member(member, until);
            break;
        case 2:
        case 3:
        case 4:
            lose_machines();
            break;
        case 5:
            pause_member(member, until);
            break;
        case 6:
        case 7:
            cut_connection(member, other_node, until);
            break;
        case 8:
            split_network(until);
            break;
        case 9:
            slow_member(member, until);
            break;
        case 10:
            slow_disk_then_kill(member, until);
            break;
        case 11:
            corrupt_disk(member);
            break;
        default:
            restart_all_in_turn();
    }
    driver_.schedule(driver_.now() + driver_.draw(0.3, 4), [this] { inject(); });
}

void ReplicationFaults::log(const std::string& text) const {
    if (options_.verbose) {
        fmt::print("{:8.3f} {}\n", driver_.elapsed(), text);
    }
}

void ReplicationFaults::log_and_call_at(double when, std::string text, std::function<void()> call) {
    driver_.schedule(when, [this, text = std::move(text), call = std::move(call)] {
        log(text);
        call();
    });
}

void ReplicationFaults::kill_member(int member, double until) {
    log(fmt::format("kill n{}", member + 1));
    driver_.kill(member);
    log_and_call_at(until, fmt::format("start n{}", member + 1),
                    [this, member] { world_.start(member); });
}

// Wipes the disks of machines. As many are lost at once as the replicas allow, and only while all
// shards are fully replicated.
void ReplicationFaults::lose_machines() {
    const int min_replicas = options_.min_replicas > 0 ? options_.min_replicas : options_.replicas;
    if (!world_.fully_replicated() || min_replicas - 1 < 1) {
        return;
    }
    for (const int member : draw_lost_machines()) {
        log(fmt::format("lose machine n{}", member + 1));
        ++driver_.lost_disks;
        driver_.kill(member);
        world_.wipe(member);
        log_and_call_at(driver_.now() + driver_.draw(0.1, 8),
                        fmt::format("start n{} on an empty disk", member + 1),
                        [this, member] { world_.start(member); });
    }
}

// Draws the machines to lose: all members in one place, and sometimes members in other places, as
// long as the lost places leave one replica.
std::vector<int> ReplicationFaults::draw_lost_machines() {
    const int min_replicas = options_.min_replicas > 0 ? options_.min_replicas : options_.replicas;
    const int max_lost = min_replicas - 1;
    const int first = driver_.draw_member();
    const int places = std::max(options_.replicas, options_.members / 2);
    std::vector<int> lost{first};
    for (int i = 0; i < options_.members; ++i) {
        const bool same_place = i != first && i % places == first % places;
        if (same_place ||
            (static_cast<int>(lost.size()) < max_lost && i != first && driver_.draw(0, 1) < 0.3)) {
            lost.push_back(i);
        }
    }
    std::set<int> lost_places;
    for (const int member : lost) {
        lost_places.insert(member % places);
    }
    if (static_cast<int>(lost_places.size()) > max_lost) {
        return {first};
    }
    return lost;
}

void ReplicationFaults::pause_member(int member, double until) {
    log(fmt::format("pause n{}", member + 1));
    driver_.set_paused(member, true);
    log_and_call_at(until, fmt::format("resume n{}", member + 1),
                    [this, member] { driver_.set_paused(member, false); });
}

void ReplicationFaults::cut_connection(int from, int to, double until) {
    log(fmt::format("cut {} {}", from + 1, to + 1));
    driver_.set_cut(from, to, true);
    if (driver_.draw(0, 1) < 0.5) {
        driver_.set_cut(to, from, true);
    }
    log_and_call_at(until, "heal", [this, from, to] {
        driver_.set_cut(from, to, false);
        driver_.set_cut(to, from, false);
    });
}

void ReplicationFaults::split_network(double until) {
    log("split");
    driver_.split_network(0.4);
    log_and_call_at(until, "heal", [this] { driver_.heal_cuts(); });
}

void ReplicationFaults::slow_member(int member, double until) {
    log(fmt::format("slow n{}", member + 1));
    driver_.set_delay(member, driver_.draw(0.1, 3));
    log_and_call_at(until, "no longer slow", [this, member] { driver_.set_delay(member, 0); });
}

void ReplicationFaults::slow_disk_then_kill(int member, double until) {
    const double delay = driver_.draw(0.05, 0.8);
    log(fmt::format("writes of n{} take up to {:.2f} s, then it is killed", member + 1, delay));
    driver_.set_disk_delay(member, delay);
    log_and_call_at(until, fmt::format("kill n{}", member + 1), [this, member] {
        driver_.kill(member);
        driver_.set_disk_delay(member, 0);
        driver_.schedule(driver_.now() + 0.2, [this, member] { world_.start(member); });
    });
}

// Corrupts shards only while all shards are fully replicated, so that another replica is left.
void ReplicationFaults::corrupt_disk(int member) {
    if (!world_.fully_replicated() || options_.replicas < 2) {
        return;
    }
    log(fmt::format("corrupt the disk of n{}", member + 1));
    driver_.kill(member);
    ++driver_.lost_disks;
    for (std::uint32_t i = 0; i < kCorruptibleShards; ++i) {
        if (driver_.draw(0, 1) < 0.4) {
            world_.corrupt_shard(member, ShardId{i});
        }
    }
    driver_.schedule(driver_.now() + 0.3, [this, member] { world_.start(member); });
}

void ReplicationFaults::restart_all_in_turn() {
    log("restart all members one after the other");
    for (int i = 0; i < options_.members; ++i) {
        driver_.schedule(driver_.now() + 0.8 * i, [this, i] {
            driver_.kill(i);
            driver_.schedule(driver_.now() + 0.4, [this, i] { world_.start(i); });
        });
    }
}

}  // namespace tideline::simulation
