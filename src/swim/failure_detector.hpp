// Failure detection by pings: selects the member to ping in each period and the helpers that ping
// it if it does not answer, and estimates how slow this member itself is (local health awareness).
#pragma once

#include <optional>
#include <vector>

#include "cluster/types.hpp"
#include "swim/member_table.hpp"
#include "swim/ping_order.hpp"
#include "swim/random_source.hpp"

namespace tideline::swim {

// The probe of one period: a direct ping, and indirect pings if it is not answered.
struct Probe {
    cluster::Name target;
    cluster::PingId id;
    Seconds direct_deadline = 0;  // deadline of the answer to the direct ping
    bool answered = false;
    bool indirect = false;  // helpers were asked to ping the target
    int helpers = 0;
    int no_answers = 0;  // helpers that reported no answer
};

class FailureDetector {
  public:
    void add_target(const cluster::Name& name, RandomSource& random) {
        order_.insert(name, random);
    }
    // Starts the probe of a period. Returns std::nullopt if no member is reachable. `answer_wait`
    // is the answer time-out in seconds of a member in full health.
    std::optional<Probe> start_probe(Seconds now, Seconds answer_wait, const MemberTable& table,
                                     RandomSource& random);
    void cancel_probe() {
        probe_.reset();
    }
    // Returns the helpers that are to ping the target of the probe on behalf of this member.
    std::vector<cluster::Name> choose_helpers(const MemberTable& table, RandomSource& random);
    // Ends the probe. Returns its target if that did not answer.
    std::optional<cluster::Name> conclude_probe();
    void on_answer(const cluster::PingId& id);
    void on_no_answer(const cluster::PingId& id);
    // Handles a failed connection to the member. If it is the target of a direct ping, the deadline
    // of that ping is now. Returns whether it is.
    bool on_connection_failed(Seconds now, const cluster::Name& name);
    // Returns the deadline of the direct ping if its answer is outstanding.
    std::optional<Seconds> direct_deadline() const;
    const std::optional<Probe>& probe() const {
        return probe_;
    }

    // Returns a few present members, drawn at random.
    std::vector<cluster::Name> draw_present(const cluster::Name& except, const MemberTable& table,
                                            RandomSource& random) const;
    cluster::PingId new_ping_id() {
        return cluster::PingId{++last_ping_};
    }
    // Returns the local health score; 0 means that this member shows no sign of being slow.
    int health() const {
        return health_;
    }
    void degrade_health(int steps);
    // Extends a time-out by the local health score, because a slow member has to wait longer.
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
