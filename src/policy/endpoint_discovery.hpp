// The watch on the endpoint list: when it is opened, what it confirms, and whether the list is
// still valid.
#pragma once

#include "policy/discovery_backoff.hpp"
#include "policy/endpoint_list_freshness.hpp"
#include "policy/policy_settings.hpp"
#include "policy/random_source.hpp"

namespace tideline {

enum class ListValidityChange { none, expired, valid_again };

class EndpointDiscovery {
  public:
    EndpointDiscovery(const PolicySettings& settings, RandomSource& random)
        : freshness_(settings.list_bounds), backoff_(settings.sidecars), random_(random) {}

    // To be called at the start of a process that has to open the watch itself.
    void process_started(Seconds now);
    // A list, or a change of it, was read. It may be unreadable in part, or come from a discovery
    // service that is no longer used, so only confirmed() confirms it.
    void list_read(EndpointListKind kind);
    void confirmed(Seconds as_of);
    void change_unreadable(Seconds since) {
        freshness_.change_unreadable(since);
    }
    void service_moved(Seconds since) {
        freshness_.service_moved(since);
    }
    // Schedules the next watch. Without one this sidecar counts as notified of changes that it
    // never saw. The list is not fetched separately: the watch begins with the changes missed, and
    // a second call would keep other sidecars from getting through.
    void watch_lost(Seconds now, Seconds since, WatchLoss loss);

    // Whether the watch is to be opened now; returns true once for each scheduled watch.
    bool take_watch_due(Seconds now);
    // Reports each change of the validity of the list once.
    ListValidityChange check_validity(Seconds now);
    const EndpointListFreshness& freshness() const {
        return freshness_;
    }

  private:
    EndpointListFreshness freshness_;
    DiscoveryBackoff backoff_;
    RandomSource& random_;
    Seconds watch_at_ = kNever;
    bool expired_ = false;  // as of the last check
};

}  // namespace tideline
