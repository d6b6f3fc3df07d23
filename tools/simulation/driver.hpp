// Drives several simulated nodes in virtual time. When messages arrive, when writes complete and
// when nodes execute is drawn from a seed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "simulation/random.hpp"

namespace tideline::simulation {

// Owns the simulated nodes (World) and their virtual time, in seconds. World provides nodes(),
// disks() (the number of nodes, counted from the first, that have a disk), due, tick, take_sent,
// deliver, has_pending_writes, complete_writes, crash, set_time and fault. A run ends early at the
// first violated invariant. Not thread-safe.
template <class World>
class Driver {
  public:
    template <class WorldSettings>
    Driver(const WorldSettings& settings, std::uint32_t seed)
        : world(settings),
          random_(seed ^ 0x1ea5e),
          paused_(static_cast<std::size_t>(world.nodes()), false),
          delays_(paused_.size(), 0),
          deferred_calls_(paused_.size()),
          disk_delays_(paused_.size(), 0) {
        dispatch_sent();
    }
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;
    ~Driver() = default;

    // Draws a number from the uniform distribution over [from, to).
    double draw(double from, double to) {
        return draw_uniform(random_, from, to);
    }
    // Draws an integer from the uniform distribution over 0 to count - 1.
    int draw_below(int count) {
        return static_cast<int>(draw(0, count));
    }
    // Schedules a call. Calls that are due at the same time are executed in the order in which they
    // were scheduled.
    void schedule(double when, std::function<void()> call) {
        scheduled_.push({when, ++order_, std::move(call)});
    }
    // Executes all events up to that time.
    void run(double until) {
        while (world.fault().empty()) {
            const auto [node, due] = next_due_node();
            const double next =
                scheduled_.empty() ? std::numeric_limits<double>::infinity() : scheduled_.top().due;
            if (std::min(due, next) > until) {
                break;
            }
            if (next <= due) {
                const auto call = scheduled_.top().call;
                now_ = std::max(now_, next);
                scheduled_.pop();
                world.set_time(now_);
                call();
            } else {
                now_ = std::max(now_ + 1e-9, due);
                world.set_time(now_);
                world.tick(node);
            }
            ++steps;
            dispatch_sent();
        }
        if (!world.fault().empty()) {
            return;
        }
        now_ = std::max(now_, until);
        world.set_time(now_);
    }
    double now() const {
        return now_;
    }
    // Dispatches the messages and writes that calls from outside run() have caused.
    void flush() {
        dispatch_sent();
    }

    // Faults.

    // Pauses or resumes a node. Messages and completed writes that reach it while it is paused are
    // handled when it resumes.
    void set_paused(int node, bool paused) {
        const auto index = static_cast<std::size_t>(node);
        if (paused_[index] == paused) {
            return;
        }
        paused_[index] = paused;
        if (paused) {
            return;
        }
        // Deferred messages are handled before timers.
        for (auto& call : std::exchange(deferred_calls_[index], {})) {
            call();
        }
        dispatch_sent();
    }
    // Crashes a node; world.start starts it again.
    void kill(int node) {
        world.crash(node);
        paused_[static_cast<std::size_t>(node)] = false;
        deferred_calls_[static_cast<std::size_t>(node)].clear();
    }
    // Sets whether most messages from one node to the other are lost and the rest arrive late.
    void set_cut(int from, int to, bool is_cut) {
        if (is_cut) {
            cuts_.insert({from, to});
        } else {
            cuts_.erase({from, to});
        }
    }
    // Partitions the network into two sides. Each node is on the first side with this probability.
    void split_network(double share) {
        std::vector<bool> side;
        for (int i = 0; i < world.nodes(); ++i) {
            side.push_back(draw(0, 1) < share);
        }
        for (int a = 0; a < world.nodes(); ++a) {
            for (int b = 0; b < world.nodes(); ++b) {
                if (side[static_cast<std::size_t>(a)] != side[static_cast<std::size_t>(b)]) {
                    set_cut(a, b, true);
                }
            }
        }
    }
    void heal_cuts() {
        cuts_.clear();
    }
    bool is_cut(int from, int to) const {
        return cuts_.contains({from, to});
    }
    // Sets the delay that is added to the transit time of each message from or to the node.
    void set_delay(int node, double by) {
        delays_[static_cast<std::size_t>(node)] = by;
    }
    // Sets by how many seconds, at most, each write of the node takes longer.
    void set_disk_delay(int node, double by) {
        disk_delays_[static_cast<std::size_t>(node)] = by;
    }
    bool is_paused(int node) const {
        return paused_[static_cast<std::size_t>(node)];
    }

    World world;
    std::uint64_t steps = 0;
    std::map<int, double> messages_by_node;  // that a node sent or received
    std::map<int, double> bytes_by_node;     // that a node sent

  private:
    struct ScheduledEvent {
        double due;
        std::uint64_t order;
        std::function<void()> call;
        bool operator>(const ScheduledEvent& other) const {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };
    // Returns the node that is due first, of those that are not paused, and when; -1 and infinity
    // if none is.
    std::pair<int, double> next_due_node() const {
        std::pair<int, double> next{-1, std::numeric_limits<double>::infinity()};
        for (int i = 0; i < world.nodes(); ++i) {
            if (paused_[static_cast<std::size_t>(i)]) {
                continue;
            }
            if (const double due = world.due(i); due < next.second) {
                next = {i, due};
            }
        }
        return next;
    }
    // Executes the call now, or when the node resumes.
    void run_when_resumed(int node, std::function<void()> call) {
        if (paused_[static_cast<std::size_t>(node)]) {
            deferred_calls_[static_cast<std::size_t>(node)].push_back(std::move(call));
        } else {
            call();
        }
    }
    // Schedules the arrival of the messages that were sent and the completion of the writes.
    void dispatch_sent() {
        for (auto& sent : world.take_sent()) {
            dispatch(std::move(sent));
        }
        for (int i = 0; i < world.disks(); ++i) {
            if (!world.has_pending_writes(i) || writing_nodes_.contains(i)) {
                continue;
            }
            writing_nodes_.insert(i);
            const double max_disk_delay = disk_delays_[static_cast<std::size_t>(i)];
            schedule(now_ + draw(0.0003, 0.004) + max_disk_delay * draw(0, 1), [this, i] {
                writing_nodes_.erase(i);
                run_when_resumed(i, [this, i] { world.complete_writes(i); });
            });
        }
    }
    template <class Message>
    void dispatch(Message sent) {
        const int to = sent.to;
        ++messages_by_node[sent.from];
        ++messages_by_node[to];
        bytes_by_node[sent.from] += static_cast<double>(sent.bytes.size());
        const double transit = draw(0.0002, 0.002) + delays_[static_cast<std::size_t>(sent.from)] +
                               delays_[static_cast<std::size_t>(to)];
        const bool is_cut_off = cuts_.contains({sent.from, to});
        if (is_cut_off && draw(0, 1) < 0.7) {
            return;
        }
        const double extra_delay = is_cut_off ? draw(0.5, 8) : 0;
        schedule(now_ + transit + extra_delay, [this, sent = std::move(sent), to] {
            run_when_resumed(to, [this, sent, to] { world.deliver(sent, to); });
        });
    }

    std::ranlux24_base random_;
    double now_ = 100;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> scheduled_;
    std::uint64_t order_ = 0;
    std::vector<bool> paused_;
    std::vector<double> delays_;
    std::vector<std::vector<std::function<void()>>> deferred_calls_;  // calls for paused nodes
    std::set<std::pair<int, int>> cuts_;
    std::set<int> writing_nodes_;      // nodes with a write in progress
    std::vector<double> disk_delays_;  // seconds that a write takes longer, at most
};

}  // namespace tideline::simulation
