// Failure detection by pings: whom this member pings in each period, through which helpers where no
// answer comes, and how slow it is itself (local health awareness).
#pragma once

#include <optional>
#include <vector>

#include "cluster/types.hpp"
#include "swim/member_table.hpp"
#include "swim/ping_order.hpp"
#include "swim/random_source.hpp"

namespace tideline::swim {

// The ping of one period.
struct Probe {
    cluster::Name target;
    cluster::PingId id;
    Seconds direct_deadline = 0;  // for an answer to the direct ping
    bool answered = false;
    bool indirect = false;  // helpers were asked to ping the target
    int helpers = 0;
    int no_answers = 0;  // helpers that had no answer either
};

class FailureDetector {
  public:
    void add_target(const cluster::Name& name, RandomSource& random) {
        order_.insert(name, random);
    }
    // Starts the probe of a period; none where nobody is reachable. `answer_wait`: seconds, for a
    // member in full health.
    std::optional<Probe> start_probe(Seconds now, Seconds answer_wait, const MemberTable& table,
                                     RandomSource& random);
    void cancel_probe() {
        probe_.reset();
    }
    // Helpers to ping the target of the probe in this member's stead.
    std::vector<cluster::Name> choose_helpers(const MemberTable& table, RandomSource& random);
    // Ends the probe. Its target, where that gave no answer.
    std::optional<cluster::Name> conclude_probe();
    void answered(const cluster::PingId& id);
    void not_answered(const cluster::PingId& id);
    // A connection to it failed: the target of the probe is not waited for. True where it is that.
    bool connection_failed(Seconds now, const cluster::Name& name);
    // The deadline of a direct ping that waits for its answer.
    std::optional<Seconds> direct_deadline() const;
    const std::optional<Probe>& probe() const {
        return probe_;
    }

    // Some members that are present, drawn at random.
    std::vector<cluster::Name> draw_present(const cluster::Name& except, const MemberTable& table,
                                            RandomSource& random) const;
    cluster::PingId new_ping_id() {
        return cluster::PingId{++last_ping_};
    }
    // 0: this member is not slow, as far as it can tell.
    int health() const {
        return health_;
    }
    void degrade_health(int steps);
    // A slow member waits longer.
    Seconds scaled_by_health(Seconds span) const {
        return span * (1 + health_);
    }

  private:
    PingOrder order_;
    std::optional<Probe> probe_;
    std::uint64_t last_ping_ = 0;
    int health_ = 0;
};

}  // namespace tideline::swim
