// Slow start across the cluster: limits how many attempts all members together may send to each
// newly started endpoint. The member that holds the slow-start lease allocates a share of the limit
// to each member. A member uses the lower of its share and its own slow-start limit; without a
// share only its own limit applies. This class does no I/O and reads no clock; each call passes the
// time in seconds of a monotonic clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/types.hpp"

namespace tideline::slow_start {

using cluster::Name;

// Sends the allocations to the members.
class SlowStartCoordinatorHost {
  public:
    virtual ~SlowStartCoordinatorHost() = default;
    // Allows the member to send up to `max_attempts` to the endpoint within any one window. The
    // allocation is valid for `valid` seconds.
    virtual void allocate(const Name& member, const EndpointId& endpoint, double max_attempts,
                          Seconds valid) = 0;
};

// The settings don't change after the start.
struct SlowStartSettings {
    // The window for which the slow-start limit counts attempts.
    Seconds window = 1;
    // An endpoint fails if it is sent more than this multiple of its even share of the attempts,
    // scaled by its present capacity, within a window.
    double overload_multiple = 4;
    // The share of its capacity that an endpoint has when it starts.
    double cold_share = 0.5;
    // The time after which an endpoint has its full capacity.
    Seconds warm_up_time = 5;
    // The interval between allocations.
    Seconds interval = 0.5;
};

// Computes the allocations of all members at a fixed interval while this member holds the lease.
class SlowStartCoordinator {
  public:
    SlowStartCoordinator(SlowStartCoordinatorHost& host, const SlowStartSettings& settings)
        : host_(host), settings_(settings) {}

    // This member acquired the lease; from now on it allocates the limits.
    void lease_acquired(Seconds now);
    void lease_lost() {
        holds_lease_ = false;
    }
    void endpoint_started(const EndpointId& endpoint, Seconds at) {
        endpoints_[endpoint] = {at, {}};
    }
    void endpoint_removed(const EndpointId& endpoint) {
        endpoints_.erase(endpoint);
    }
    // Sets the number of endpoints that are ready to receive requests.
    void ready_endpoints(std::size_t count) {
        ready_endpoints_ = count;
    }
    // Handles a member's report of how many attempts it sent to all endpoints within the last
    // window.
    void receive_recent_attempts(Seconds now, const Name& member, double recent_attempts);
    void tick(Seconds now);
    // Returns the time at which tick has to be called next; infinity if it need not be called.
    Seconds due() const;
    // The most attempts that all members together may send to the endpoint within any one window.
    double endpoint_limit(Seconds now, const EndpointId& endpoint) const;

  private:
    // The attempts that a member may send to an endpoint within a window.
    struct Allocation {
        double limit = 0;             // the limit that was last sent to the member
        double in_force = 0;          // the highest limit that the member may still use
        Seconds lowered_at = kNever;  // when `limit` was lowered last
    };
    using Allocations = std::map<Name, Allocation>;
    struct Endpoint {
        Seconds started = 0;
        Allocations allocations;
    };
    struct MemberLoad {
        double recent_attempts = 0;  // attempts to all endpoints within a window
        Seconds reported_at = 0;
    };
    void allocate_endpoint(Seconds now, const EndpointId& id, Endpoint& endpoint);
    void end_allocations(Seconds now, const EndpointId& id, Endpoint& endpoint);
    std::map<Name, double> target_limits(double endpoint_limit, double total_attempts) const;
    double lower_limits(Seconds now, const std::map<Name, double>& targets,
                        Allocations& allocations) const;
    double total_recent_attempts() const;
    double capacity(Seconds now, const Endpoint& endpoint) const;

    SlowStartCoordinatorHost& host_;
    SlowStartSettings settings_;
    bool holds_lease_ = false;
    Seconds next_allocation_ = 0;
    std::size_t ready_endpoints_ = 0;
    std::size_t tick_count_ = 0;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<Name, MemberLoad> members_;
};

}  // namespace tideline::slow_start
