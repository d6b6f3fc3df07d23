// The endpoints listed by discovery, each with what this sidecar knows about it.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "policy/endpoint.hpp"
#include "policy/types.hpp"

namespace tideline {

class EndpointSet {
  public:
    // Applies a list, or changes of it. What is known about an endpoint is dropped if its id comes
    // back with another start time or build.
    void update(Seconds now, EndpointListKind kind, const std::vector<EndpointInfo>& infos);

    // Returns null if the id is unknown.
    Endpoint* find(const EndpointId& id);
    // Adds an endpoint again that was removed meanwhile, since attempts at it may still end.
    Endpoint& find_or_add(const EndpointId& id) {
        return endpoints_[id];
    }
    Seconds started_at(const EndpointId& id) const;
    bool lists_older_build_than(Build build) const;
    // The largest number of endpoints ever listed as ready at once.
    std::size_t max_ready_count() const {
        return max_ready_count_;
    }

    // Iterates in the order of the ids.
    auto begin() {
        return endpoints_.begin();
    }
    auto end() {
        return endpoints_.end();
    }
    auto begin() const {
        return endpoints_.begin();
    }
    auto end() const {
        return endpoints_.end();
    }

  private:
    std::size_t count_ready() const;

    std::map<EndpointId, Endpoint> endpoints_;
    std::size_t max_ready_count_ = 1;
};

}  // namespace tideline
