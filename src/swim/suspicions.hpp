// The members that are suspected to have failed, with their accusers and the time until which they
// can refute.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::swim {

class Suspicions {
  public:
    void start_suspicion(Seconds now, const cluster::Name& suspect, const cluster::Name& accuser);
    // Returns whether the accuser is a new one that counts.
    bool add_accuser(const cluster::Name& suspect, const cluster::Name& accuser);
    void remove(const cluster::Name& suspect) {
        suspicions_.erase(suspect);
    }
    // Returns the members whose time to refute is over. `cluster_size` is the number of present
    // members, this one included; `period` is the interval between two pings, in seconds.
    std::vector<cluster::Name> expired(Seconds now, double cluster_size, Seconds period) const;
    // Returns the earliest deadline, or `latest` if that is earlier.
    Seconds next_deadline(Seconds latest, double cluster_size, Seconds period) const;
    void postpone(Seconds by);

  private:
    struct Suspicion {
        Seconds since = 0;
        std::set<cluster::Name> accusers;
    };
    static Seconds deadline(const Suspicion& suspicion, double cluster_size, Seconds period);

    std::map<cluster::Name, Suspicion> suspicions_;
};

}  // namespace tideline::swim
