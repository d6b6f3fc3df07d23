// The watch of the endpoint list: when it is opened, what it confirms, and whether the list is
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

    // At the start of a process that has to open the watch itself.
    void process_started(Seconds now);
    // A list, or a change of it, was read. A list may hold what can't be read, or come from a
    // discovery service that was left, so it confirms nothing by itself: confirmed() does.
    void list_read(EndpointListKind kind);
    void confirmed(Seconds as_of);
    void change_unreadable(Seconds since) {
        freshness_.change_unreadable(since);
    }
    void service_moved(Seconds since) {
        freshness_.service_moved(since);
    }
    // Without a watch this sidecar counts as notified of changes that it never saw, so the watch
    // is opened again. The list is not fetched beside it: the watch starts with what was missed,
    // and a second call would keep other sidecars from getting through.
    void watch_lost(Seconds now, Seconds since, WatchLoss loss);

    // Whether the watch is to be opened now; true once for each time.
    bool take_watch_due(Seconds now);
    ListValidityChange check_validity(Seconds now);
    const EndpointListFreshness& freshness() const {
        return freshness_;
    }

  private:
    EndpointListFreshness freshness_;
    DiscoveryBackoff backoff_;
    RandomSource& random_;
    Seconds watch_at_ = kNever;
    bool expired_ = false;  // when last checked
};

}  // namespace tideline
